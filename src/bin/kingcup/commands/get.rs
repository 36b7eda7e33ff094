use kingcupgrade::{
    core::Service,
    protocol::operator::{OperatorReply, OperatorRequest},
};

use super::Context;
use crate::flags::Get;

pub(crate) fn exec(cx: &Context, args: &Get) -> anyhow::Result<()> {
    let request = OperatorRequest::Document { service: Service::from(args.service.as_str()) };
    let OperatorReply::Document(stored) = cx.client.ask(&request)? else {
        anyhow::bail!("the instance gave an answer that does not fit the question");
    };
    eprintln!("revision {}", stored.revision);
    print!("{}", stored.text);
    Ok(())
}
