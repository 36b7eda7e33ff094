//! Answers that are broken in their heads, their framing or their ends.

/// A broken answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenAnswer {
    /// The status line, without its end.
    pub status_line: &'static str,
    /// The lines of the head, with the empty one at its end unless it is cut.
    pub fields: &'static str,
    /// The body, and what frames it.
    pub body: &'static str,
}

impl BrokenAnswer {
    /// Returns the answer with these lines first in its head.
    pub fn with_fields(&self, first: &str) -> String {
        let BrokenAnswer { status_line, fields, body } = self;
        match *status_line == CUT_STATUS_LINE {
            true => CUT_STATUS_LINE.to_owned(),
            false => format!("{status_line}\r\n{first}{fields}{body}"),
        }
    }
}

const fn answer(
    status_line: &'static str,
    fields: &'static str,
    body: &'static str,
) -> BrokenAnswer {
    BrokenAnswer { status_line, fields, body }
}

/// A status line that ends too early.
const CUT_STATUS_LINE: &str = "HTTP/1.1 20";
/// A body with chunks, as far as the answer's head says so.
const CHUNKS: &str = "9\r\ndata: x\n\n\r\n0\r\n\r\n";
/// A body that is whole as a stream too.
pub const WHOLE: &str = "data: x\n\n";

/// The status line of a success.
pub const OK: &str = "HTTP/1.1 200 OK";

/// Answers whose head states the framing of the body in a way that isn't valid or is ambiguous.
pub const FRAMINGS: &[BrokenAnswer] = &[
    answer(OK, "Transfer-Encoding: chunkd\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: \r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: gzip\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: identity\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: gzip, chunked\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: chunked, gzip\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: chunked, chunked\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: chunkd\r\nContent-Length: 20\r\n\r\n", CHUNKS),
    answer(OK, "Transfer-Encoding: chunked\r\nContent-Length: 20\r\n\r\n", CHUNKS),
    answer("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n\r\n", CHUNKS),
    answer(OK, "Content-Length: +9\r\n\r\n", WHOLE),
    answer(OK, "Content-Length: -9\r\n\r\n", WHOLE),
    answer(OK, "Content-Length: 0x9\r\n\r\n", WHOLE),
    answer(OK, "Content-Length: 9 9\r\n\r\n", WHOLE),
    answer(OK, "Content-Length: \r\n\r\n", WHOLE),
    answer(OK, "Content-Length: 9\r\nContent-Length: 4\r\n\r\n", WHOLE),
    answer(OK, "Content-Length: 9, 4\r\n\r\n", WHOLE),
    answer(OK, "Content-Length: 18446744073709551625\r\n\r\n", WHOLE),
];

/// Answers without a valid status.
pub const STATUS_LINES: &[BrokenAnswer] = &[
    answer(
        "HTTP/1.1 101 Switching Protocols",
        "Connection: upgrade\r\nUpgrade: other\r\n\r\n",
        WHOLE,
    ),
    answer("HTTP/1.1 101 Switching Protocols", "\r\n", ""),
    answer("HTTP/1.1 600 Beyond", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("HTTP/1.1 999 Beyond", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("HTTP/1.1 000 Nothing", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("HTTP/1.1 099 Below", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("HTTP/1.1 20 Short", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("HTTP/1.1 2000 Long", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("HTTP/3.0 200 OK", "Content-Length: 9\r\n\r\n", WHOLE),
    answer("NOTHING 200 OK", "Content-Length: 9\r\n\r\n", WHOLE),
];

/// Answers with lines in their heads that are no fields.
pub const FIELDS: &[BrokenAnswer] = &[
    answer(OK, "X Blank: 1\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, "X-Blank : 1\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, "X-Control\u{1}: 1\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, "no field\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, ": no name\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, "X-Folded: 1\r\n 2\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, "X-Nul: 1\u{0}2\r\nContent-Length: 9\r\n\r\n", WHOLE),
    answer(OK, "X-Return: 1\r2\r\nContent-Length: 9\r\n\r\n", WHOLE),
];

/// Answers that end early, with the connection.
pub const CUT: &[BrokenAnswer] = &[
    answer(CUT_STATUS_LINE, "", ""),
    answer(OK, "", ""),
    answer(OK, "X-Cut", ""),
    answer(OK, "Content-Length: 5\r\n", ""),
    answer(OK, "Content-Length: 50\r\n\r\n", WHOLE),
    answer(OK, "Transfer-Encoding: chunked\r\n\r\n", "9\r\ndata: x\n\n\r\n"),
    answer(OK, "Transfer-Encoding: chunked\r\n\r\n", "50\r\ndata: x\n\n"),
    answer(OK, "Transfer-Encoding: chunked\r\n\r\n", "zz\r\ndata: x\n\n\r\n0\r\n\r\n"),
    answer(OK, "Transfer-Encoding: chunked\r\n\r\n", "9\r\ndata: x\n\n!!0\r\n\r\n"),
];
