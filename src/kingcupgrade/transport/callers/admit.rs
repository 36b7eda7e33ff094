//! Admission of requests: validation against the document of the requested service.

use std::{sync::Arc, time::Duration};

use sha2::{Digest, Sha256};

use super::Shared;
use crate::{
    coordination::node::KeyedRequest,
    core::{Code, Document, Organisation, RequestDigest, Service, code::CodedError},
    protocol::record::RequestKey,
    transport::{
        SharedView,
        http::{Request, RequestHead},
        upstream::{self, UpstreamRequest},
    },
};

/// The maximum total length of a request's URL and headers, in bytes.
const MAX_HEAD_LEN: usize = 32 << 10;

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_LEN: usize = 256;

/// A request that has been admitted.
pub(super) struct Admitted {
    pub(super) document: Arc<Document>,
    pub(super) service: Service,
    pub(super) organisation: Organisation,
    /// The same over all attempts of the caller.
    pub(super) digest: RequestDigest,
    pub(super) idempotent: bool,
    pub(super) keyed: Option<KeyedRequest>,
    pub(super) upstream: UpstreamRequest,
}

/// A request's service and organisation, as its head names them.
pub(super) struct AdmittedHead {
    service: Service,
    /// The path at the service.
    path: String,
    pub(super) organisation: Organisation,
    pub(super) document: Arc<Document>,
}

/// Validates the head of a request, and determines its service and organisation.
///
/// # Errors
///
/// Returns the coded error with which the request is to be refused.
pub(super) fn admit_head(
    head: &RequestHead,
    view: &SharedView,
) -> Result<AdmittedHead, CodedError> {
    check_head(head)?;
    let (service, path) = split_path(head.url())?;
    let view = view.read().expect("no thread panics holding the view").clone();
    if view.documents().is_empty() {
        return Err(CodedError::new(Code::NotReady, ""));
    }
    let in_force = view
        .documents()
        .get(service.as_str())
        .ok_or_else(|| CodedError::new(Code::UnknownService, service.as_str()))?;
    let document = &in_force.document;
    let token =
        head.header("authorization").and_then(|value| value.strip_prefix("Bearer ")).ok_or_else(
            || CodedError::new(Code::UnknownToken, "expected Authorization: Bearer TOKEN"),
        )?;
    let organisation = document
        .organisation_of(token)
        .ok_or_else(|| CodedError::new(Code::UnknownToken, ""))?
        .clone();
    Ok(AdmittedHead { service, path, organisation, document: document.clone() })
}

/// Validates a request, and determines its service and organisation.
///
/// # Errors
///
/// Returns the coded error with which the request is to be refused.
pub(super) fn admit(request: &mut Request, shared: &Shared) -> Result<Admitted, CodedError> {
    // The document may have changed while the body arrived.
    let AdmittedHead { service, path, organisation, document } =
        admit_head(request.head(), &shared.view)?;
    let method = request.method().to_owned();
    let path_without_query = path.split('?').next().unwrap_or(&path).to_owned();
    let idempotent = !document.must_not_repeat(&method, &path_without_query);
    let body = request.take_body(document.limits.body_bytes)?;
    let keyed = if idempotent {
        None
    } else {
        Some(read_key(request, &service, &organisation, &method, &path, &body)?)
    };
    let caller = [service.as_str().as_bytes(), organisation.as_str().as_bytes()];
    let digest = match &keyed {
        // Its own digest covers the method, the path and the body.
        Some(KeyedRequest { key, digest }) => {
            let asked = [key.key.as_bytes(), &digest.to_be_bytes()];
            RequestDigest::of(caller.into_iter().chain(asked))
        }
        None => {
            let asked = [method.as_bytes(), path.as_bytes(), &body];
            RequestDigest::of(caller.into_iter().chain(asked))
        }
    };
    let upstream = UpstreamRequest {
        method,
        path,
        headers: forwarded_headers(request),
        body,
        read_timeout: Duration::from_millis(document.limits.silence_ms),
    };
    Ok(Admitted { document, service, organisation, digest, idempotent, keyed, upstream })
}

fn check_head(head: &RequestHead) -> Result<(), CodedError> {
    let len: usize = head.headers().map(|(name, value)| name.len() + value.len()).sum();
    if len + head.url().len() > MAX_HEAD_LEN {
        return Err(CodedError::new(
            Code::HeadTooLarge,
            format!("the URL and headers may have at most {MAX_HEAD_LEN} bytes"),
        ));
    }
    Ok(())
}

/// Splits a URL into the service, which is its first path segment, and the remaining path.
fn split_path(url: &str) -> Result<(Service, String), CodedError> {
    let path = url.strip_prefix('/').unwrap_or(url);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    if service.is_empty() {
        return Err(CodedError::new(
            Code::BadRequest,
            "expected the name of a service as the first path segment",
        ));
    }
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    Ok((Service::from(service), rest))
}

/// Returns the headers that are forwarded to the upstream.
fn forwarded_headers(request: &Request) -> Vec<(String, String)> {
    let forwarded = request.headers().filter(|(name, _)| upstream::is_forwarded(name));
    forwarded.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

/// Reads the idempotency key, and computes the digest of the request that it identifies.
fn read_key(
    request: &Request,
    service: &Service,
    organisation: &Organisation,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<KeyedRequest, CodedError> {
    let key = request.header("idempotency-key").filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| CodedError::new(Code::KeyMissing, ""))?;
    if key.len() > MAX_KEY_LEN {
        let detail = format!("an Idempotency-Key may have at most {MAX_KEY_LEN} bytes");
        return Err(CodedError::new(Code::BadRequest, detail));
    }
    let mut hasher = Sha256::new();
    hasher.update(method.as_bytes());
    hasher.update([0]);
    hasher.update(path.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    let hash: [u8; 32] = hasher.finalize().into();
    let (first, _) = hash.split_at(16);
    let digest = u128::from_be_bytes(first.try_into().expect("sixteen bytes"));
    let key = RequestKey {
        service: service.clone(),
        organisation: organisation.clone(),
        key: key.to_owned(),
    };
    Ok(KeyedRequest { key, digest })
}
