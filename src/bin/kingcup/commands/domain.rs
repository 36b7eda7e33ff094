use kingcupgrade::{core::FailureDomain, protocol::record::Command};

use super::Context;
use crate::flags::Domain;

pub(crate) fn exec(cx: &Context, args: Domain) -> anyhow::Result<()> {
    let out = match args.action.as_str() {
        "out" => true,
        "in" => false,
        other => anyhow::bail!("expected out or in, not {other}"),
    };
    let change = Context::change_id(args.change_id)?;
    let domain = FailureDomain::from(args.name.as_str());
    let description = format!("failure domain {domain} {}", args.action);
    cx.change(Command::SetDomain { change, domain, out }, &description, args.wait)
}
