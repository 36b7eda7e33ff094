use kingcupgrade::{
    core::Service,
    protocol::operator::{OperatorReply, OperatorRequest},
};

use super::Context;
use crate::flags::History;

pub(crate) fn exec(cx: &Context, args: &History) -> anyhow::Result<()> {
    let request = OperatorRequest::History { service: Service::from(args.service.as_str()) };
    let OperatorReply::History { revisions } = cx.client.ask(&request)? else {
        anyhow::bail!("unexpected answer of the instance");
    };
    println!("revision  index  bytes");
    for stored in revisions {
        println!("{:>8}  {:>5}  {:>5}", stored.revision, stored.index, stored.text.len());
    }
    Ok(())
}
