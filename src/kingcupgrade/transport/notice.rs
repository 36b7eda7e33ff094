//! Decoding of what an upstream asks for on an answer: to be left alone for some time.
//!
//! `Retry-After` is HTTP's own header, so it is decoded here for every kind of upstream.

use http::{HeaderMap, StatusCode, header};
use serde::Serialize;

use crate::{
    core::{Code, Millis, UpstreamName, code::CodedError},
    util::log,
};

/// The longest delay that is believed: longer ones come from a fault of the upstream, and would
/// take it out of service until this process restarts.
const MAX_DELAY: Millis = Millis(3_600_000);
/// The backoff from an upstream that asks for a delay that can't be understood.
const DEFAULT_DELAY: Millis = Millis(1_000);
/// The length up to which an invalid value is logged, in characters.
const MAX_LOGGED_LEN: usize = 40;

/// The fields of the log line for a delay that is not valid.
#[derive(Serialize)]
struct InvalidDelayLine<'a> {
    upstream: &'a UpstreamName,
    code: u16,
    value: String,
    used_ms: Millis,
}

/// Returns how long an upstream that answered with this status wants no requests, if it says so.
///
/// A delay that is not valid is logged, and replaced by a short one: the upstream did ask to be
/// left alone, but must not be lost by a mistake in its answer.
pub fn backoff_of(
    upstream: &UpstreamName,
    status: StatusCode,
    headers: &HeaderMap,
) -> Option<Millis> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let value = String::from_utf8_lossy(headers.get(header::RETRY_AFTER)?.as_bytes());
    match parse_delay(&value) {
        Ok(delay) => Some(delay),
        Err(err) => {
            let line = InvalidDelayLine {
                upstream,
                code: err.code.number(),
                value: value.chars().take(MAX_LOGGED_LEN).collect(),
                used_ms: DEFAULT_DELAY,
            };
            log::warning("delay-invalid", &line);
            Some(DEFAULT_DELAY)
        }
    }
}

/// Parses a delay in seconds, which may have a fraction.
///
/// # Errors
///
/// Returns [`Code::DelayInvalid`] if the value is no number, negative, or longer than an hour.
pub fn parse_delay(value: &str) -> Result<Millis, CodedError> {
    let invalid = |reason: &str| CodedError::new(Code::DelayInvalid, reason);
    let seconds: f64 = value.trim().parse().map_err(|_| invalid("not a number"))?;
    let ms = seconds * 1_000.0;
    if !ms.is_finite() || ms < 0.0 {
        return Err(invalid("negative or not finite"));
    }
    if ms > MAX_DELAY.0 as f64 {
        return Err(invalid("longer than an hour"));
    }
    Ok(Millis(ms.ceil() as u64))
}
