use std::fs;

use anyhow::Context as _;
use kingcupgrade::{
    core::{Code, Document, Service, code::CodedError},
    ops::coded_error,
    protocol::{
        operator::{OperatorReply, OperatorRequest},
        record::Command,
    },
};

use super::Context;
use crate::flags::Apply;

pub(crate) fn exec(cx: &Context, args: Apply) -> anyhow::Result<()> {
    let text = fs::read_to_string(&args.path).with_context(|| args.path.display().to_string())?;
    let document = Document::parse(&text).with_context(|| args.path.display().to_string())?;
    let service = document.service;
    let base = match args.base {
        Some(base) => base,
        None => newest_revision(cx, &service)?,
    };
    let change = Context::change_id(args.change_id)?;
    let description = format!("document of {service}");
    let command = Command::ApplyDocument { change, service, base, text };
    cx.change(command, &description, args.wait)
}

/// Returns the newest revision known to the fleet, or 0 if there is none.
fn newest_revision(cx: &Context, service: &Service) -> anyhow::Result<u64> {
    let request = OperatorRequest::Document { service: service.clone() };
    match cx.client.ask(&request) {
        Ok(OperatorReply::Document(stored)) => Ok(stored.revision),
        Ok(_) => Ok(0),
        Err(err) if coded_error(&err).is_some_and(is_not_found) => Ok(0),
        Err(err) => Err(err),
    }
}

fn is_not_found(err: &CodedError) -> bool {
    err.code == Code::NotFound
}
