use anyhow::Context as _;
use kingcupgrade::{
    core::{Millis, Service, Version},
    protocol::{
        record::Command,
        rollout::{Rollout, RolloutOrder},
    },
};

use super::Context;
use crate::flags;

pub(crate) fn exec(cx: &Context, args: flags::Rollout) -> anyhow::Result<()> {
    match args.action.as_str() {
        "start" => start(cx, args),
        "status" => status(cx, args.service.as_deref()),
        other => anyhow::bail!("expected start or status, not {other}"),
    }
}

fn start(cx: &Context, args: flags::Rollout) -> anyhow::Result<()> {
    let service = args.service.context("expected the service")?;
    let version = args.version.context("expected the version to move to")?;
    let seconds = args.seconds.context("expected --seconds, the time that the rollout may take")?;
    let order = RolloutOrder {
        service: Service::from(service.as_str()),
        to: Version::from(version.as_str()),
        duration: Millis(seconds.saturating_mul(1_000)),
    };
    let change = Some(Context::change_id(args.change_id)?);
    let description = format!("rollout of {service} to {version}");
    cx.change(Command::StartRollout { change, order }, &description, args.wait)
}

fn status(cx: &Context, service: Option<&str>) -> anyhow::Result<()> {
    let statuses = cx.reachable_statuses();
    let newest = statuses.iter().max_by_key(|status| status.index);
    let newest = newest.context("no instance can be reached")?;
    println!("service           version           state");
    let is_asked = |rollout: &&Rollout| {
        service.is_none_or(|service| rollout.order.service.as_str() == service)
    };
    for rollout in newest.rollouts.iter().filter(is_asked) {
        let RolloutOrder { service, to, .. } = &rollout.order;
        let stage = rollout.stage.as_str();
        println!("{:<16}  {:<16}  {stage}", service.as_str(), to.as_str());
    }
    Ok(())
}
