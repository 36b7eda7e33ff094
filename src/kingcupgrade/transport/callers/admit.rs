//! Admission: what a caller sent, checked against the document of its service.

use std::{io::Read, sync::Arc, time::Duration};

use sha2::{Digest, Sha256};

use super::Shared;
use crate::{
    coordination::node::KeyedRequest,
    core::{Code, Document, Organisation, Service, code::CodedError},
    protocol::record::RequestKey,
    transport::upstream::{self, UpstreamRequest},
};

/// The largest head of a request, in bytes.
const MAX_HEAD_LEN: usize = 32 << 10;

/// The longest request key, in bytes.
const MAX_KEY_LEN: usize = 256;

/// An admitted request, as read from its caller.
pub(super) struct Admitted {
    pub(super) document: Arc<Document>,
    pub(super) service: Service,
    pub(super) organisation: Organisation,
    pub(super) idempotent: bool,
    pub(super) keyed: Option<KeyedRequest>,
    pub(super) upstream: UpstreamRequest,
}

pub(super) fn admit(
    request: &mut tiny_http::Request,
    shared: &Shared,
) -> Result<Admitted, CodedError> {
    check_head(request)?;
    let (service, path) = split_path(request.url())?;
    let view = shared.view.read().expect("no thread panics holding the view").clone();
    if view.documents().is_empty() {
        return Err(CodedError::new(Code::NotReady, ""));
    }
    let in_force = view
        .documents()
        .get(service.as_str())
        .ok_or_else(|| CodedError::new(Code::UnknownService, service.as_str()))?;
    let document = &in_force.document;
    let token = header(request, "authorization")
        .and_then(|value| value.strip_prefix("Bearer ").map(str::to_owned))
        .ok_or_else(|| {
            CodedError::new(Code::UnknownToken, "expected Authorization: Bearer TOKEN")
        })?;
    let organisation = document
        .organisation_of(&token)
        .ok_or_else(|| CodedError::new(Code::UnknownToken, ""))?
        .clone();
    let method = request.method().to_string();
    let bare_path = path.split('?').next().unwrap_or(&path).to_owned();
    let idempotent = !document.must_not_repeat(&method, &bare_path);
    let body = read_body(request, document.limits.body_bytes)?;
    let keyed = if idempotent {
        None
    } else {
        Some(read_key(request, &service, &organisation, &method, &path, &body)?)
    };
    let upstream = UpstreamRequest {
        method,
        path,
        headers: passed_on(request),
        body,
        silence: Duration::from_millis(document.limits.silence_ms),
    };
    let document = document.clone();
    Ok(Admitted { document, service, organisation, idempotent, keyed, upstream })
}

fn check_head(request: &tiny_http::Request) -> Result<(), CodedError> {
    let headers = request.headers().iter();
    let len: usize =
        headers.map(|h| h.field.as_str().as_str().len() + h.value.as_str().len()).sum();
    if len + request.url().len() > MAX_HEAD_LEN {
        return Err(CodedError::new(Code::HeadTooLarge, format!("at most {MAX_HEAD_LEN} bytes")));
    }
    Ok(())
}

fn split_path(url: &str) -> Result<(Service, String), CodedError> {
    let path = url.strip_prefix('/').unwrap_or(url);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    if service.is_empty() {
        return Err(CodedError::new(
            Code::BadRequest,
            "expected a path that begins with a service",
        ));
    }
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    Ok((Service::from(service), rest))
}

fn header(request: &tiny_http::Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}

fn passed_on(request: &tiny_http::Request) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    let kept = headers.filter(|header| upstream::is_passed_on(header.field.as_str().as_str()));
    kept.map(|h| (h.field.as_str().to_string(), h.value.as_str().to_owned())).collect()
}

fn read_body(request: &mut tiny_http::Request, limit: usize) -> Result<Vec<u8>, CodedError> {
    let too_large = || CodedError::new(Code::BodyTooLarge, format!("at most {limit} bytes"));
    if request.body_length().is_some_and(|len| len > limit) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let read = request.as_reader().take(limit as u64 + 1).read_to_end(&mut body);
    read.map_err(|err| CodedError::new(Code::BadRequest, err.to_string()))?;
    if body.len() > limit { Err(too_large()) } else { Ok(body) }
}

fn read_key(
    request: &tiny_http::Request,
    service: &Service,
    organisation: &Organisation,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<KeyedRequest, CodedError> {
    let key = header(request, "idempotency-key").filter(|key| !key.is_empty());
    let key = key.ok_or_else(|| CodedError::new(Code::KeyMissing, ""))?;
    if key.len() > MAX_KEY_LEN {
        let detail = format!("an Idempotency-Key has at most {MAX_KEY_LEN} bytes");
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
    let key = RequestKey { service: service.clone(), organisation: organisation.clone(), key };
    Ok(KeyedRequest { key, digest })
}
