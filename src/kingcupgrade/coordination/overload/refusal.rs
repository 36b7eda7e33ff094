//! Whether an overloaded entry refuses a request before admission.

use super::Overload;
use crate::{
    coordination::traffic::{EarlyRequest, Traffic},
    core::{Code, Millis},
};

/// Returns the code and the retry delay with which to refuse the request that has just arrived, if
/// the entry is overloaded and the request is to be shed or its organisation is beyond its share.
///
/// The share is checked first: it is the same at all entries, so the caller gains nothing by trying
/// another one at once.
pub fn early_refusal(
    now: Millis,
    overload: &mut Overload,
    traffic: &mut Traffic,
    request: &EarlyRequest<'_>,
) -> Option<(Code, Millis)> {
    let is_shed = if traffic.has_collectors() {
        overload.on_arrival(now, request.organisation);
        if overload.is_shedding()
            && let Some(retry_after) = traffic.refuse_over_share(now, request)
        {
            return Some((Code::OverShare, retry_after));
        }
        overload.should_refuse_from(now, request.organisation)
    } else {
        overload.should_refuse()
    };
    is_shed.then(|| (Code::TooBusy, traffic.refuse_early(now, request)))
}
