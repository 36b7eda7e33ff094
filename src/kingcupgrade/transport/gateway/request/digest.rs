//! The digest by which the attempts of one request are recognised.

use http::request;

use super::routing::host_of;
use crate::{
    core::{Organisation, RequestDigest},
    transport::{bodies::Segments, gateway::adapter::RequestHead},
};

/// Computes the digest of a request.
///
/// It leaves out what differs between the attempts of one caller: the request's id, the time left,
/// and the event after which a stream goes on. An estimate of the answer's length asks for nothing.
pub(super) fn digest_of(
    head: &request::Parts,
    decoded: &RequestHead,
    organisation: Option<&Organisation>,
    body: &Segments,
) -> RequestDigest {
    let prompt: Vec<u8> = decoded.prompt.iter().flat_map(|part| part.id.to_be_bytes()).collect();
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let fields = [
        organisation.map_or("", Organisation::as_str).as_bytes(),
        host_of(head).unwrap_or_default().as_bytes(),
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        decoded.model.as_deref().unwrap_or_default().as_bytes(),
        &decoded.max_output.to_be_bytes(),
        &prompt,
    ];
    RequestDigest::with_body(fields, body.len(), body.parts())
}
