use kingcupgrade::{
    core::Service,
    protocol::operator::{OperatorReply, OperatorRequest},
};

use super::Context;
use crate::flags::Get;

pub(crate) fn exec(cx: &Context, args: &Get) -> anyhow::Result<()> {
    let request = OperatorRequest::Document { service: Service::from(args.service.as_str()) };
    let OperatorReply::Document(stored) = cx.client.ask(&request)? else {
        anyhow::bail!("unexpected answer of the instance");
    };
    eprintln!("revision {}", stored.revision);
    print!("{}", stored.text);
    Ok(())
}
