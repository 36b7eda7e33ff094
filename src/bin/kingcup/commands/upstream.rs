use kingcupgrade::{core::UpstreamName, protocol::record::Command};

use super::Context;
use crate::flags::Upstream;

pub(crate) fn exec(cx: &Context, args: Upstream) -> anyhow::Result<()> {
    let leaving = match args.action.as_str() {
        "leave" => true,
        "stay" => false,
        other => anyhow::bail!("expected leave or stay, not {other}"),
    };
    let change = Context::change_id(args.change_id)?;
    let upstream = UpstreamName::from(args.name.as_str());
    let description = format!("upstream {upstream} {}", args.action);
    cx.change(Command::SetLeaving { change, upstream, leaving }, &description, args.wait)
}
