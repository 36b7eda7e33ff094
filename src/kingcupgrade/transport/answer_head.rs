//! Checks of the heads of answers that the HTTP libraries leave to their users.
//!
//! The libraries accept statuses that are none. They take the body of an answer to last until the end
//! of the connection if they don't know its transfer coding; such a body is not the upstream's, and
//! its end doesn't show that it is whole. (RFC 9112, sections 6.1 and 6.3.)

use std::fmt;

use http::{HeaderMap, StatusCode, Version, header};

/// The one transfer coding that answers may have.
const CHUNKED: &[u8] = b"chunked";

/// What makes an answer unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// Its status is outside the five classes, or an informational one that ends the exchange.
    Status(u16),
    /// It has a transfer coding other than a single `chunked`, or one that its version of HTTP
    /// doesn't have.
    TransferCoding,
    /// It states both a transfer coding and a length.
    LengthBesideCoding,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadFault::Status(status) => write!(f, "{status} is not the status of an answer"),
            HeadFault::TransferCoding => f.write_str("the transfer coding is not valid"),
            HeadFault::LengthBesideCoding => {
                f.write_str("a length is stated beside a transfer coding")
            }
        }
    }
}

impl std::error::Error for HeadFault {}

/// The statuses that an answer may have. No request asks for a change of the protocol, so that 101 is
/// none of them.
const STATUSES: std::ops::Range<u16> = 200..600;

/// Checks the head of an answer.
///
/// # Errors
///
/// Returns the first fault found.
pub fn check(status: StatusCode, version: Version, headers: &HeaderMap) -> Result<(), HeadFault> {
    if !STATUSES.contains(&status.as_u16()) {
        return Err(HeadFault::Status(status.as_u16()));
    }
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(()) };
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED);
    if !is_chunked || codings.next().is_some() || version != Version::HTTP_11 {
        return Err(HeadFault::TransferCoding);
    }
    match headers.contains_key(header::CONTENT_LENGTH) {
        true => Err(HeadFault::LengthBesideCoding),
        false => Ok(()),
    }
}
