//! Tests the parsing of the first request on a connection that may be refused without the HTTP
//! server.

use kingcupgrade::transport::gateway::early_refusal::FirstRequest;

/// Returns the path of a request that may be refused, and the bytes of its body that are missing.
fn parse(text: &str) -> Option<(String, u64)> {
    match FirstRequest::parse(text.as_bytes()) {
        FirstRequest::Complete(head, left) => Some((head.uri.path().to_owned(), left)),
        FirstRequest::Unsuitable => None,
    }
}

/// Guards against a connection that is closed before the whole request was read: it is reset, and
/// the caller never learns that its request has not run.
#[test]
fn the_rest_of_a_body_is_known() {
    let head = "POST /review/1 HTTP/1.1\r\nHost: host\r\nContent-Length: 10\r\n\r\n";
    assert_eq!(parse(head), Some(("/review/1".to_owned(), 10)));
    assert_eq!(parse(&format!("{head}0123")), Some(("/review/1".to_owned(), 6)));
    assert_eq!(parse(&format!("{head}0123456789")), Some(("/review/1".to_owned(), 0)));
    assert_eq!(parse("GET /a HTTP/1.1\r\n\r\n"), Some(("/a".to_owned(), 0)));
}

/// Guards against a refusal that is sent in the middle of a request, or that leaves another request
/// on the connection without an answer.
#[test]
fn what_needs_the_server_is_left_to_it() {
    let with = |header: &str| format!("POST /a HTTP/1.1\r\nHost: host\r\n{header}\r\n\r\n");
    for header in [
        "Transfer-Encoding: chunked",
        "Expect: 100-continue\r\nContent-Length: 4",
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: some",
    ] {
        assert_eq!(parse(&with(header)), None, "{header}");
    }
    let pipelined = format!("{}GET /b HTTP/1.1\r\n\r\n", with("Content-Length: 0"));
    assert_eq!(parse(&pipelined), None);
    let incomplete = "POST /a HTTP/1.1\r\nHost: ho";
    assert_eq!(parse(incomplete), None);
    assert_eq!(parse("no request\r\n\r\n"), None);
}
