use std::collections::BTreeMap;

use anyhow::Context as _;
use kingcupgrade::{
    core::UpstreamName,
    protocol::{
        order::{Setup, SetupChange, UpstreamOrder},
        record::Command,
    },
};

use super::Context;
use crate::flags::Order;

pub(crate) fn exec(cx: &Context, args: Order) -> anyhow::Result<()> {
    let value = args.value.as_deref();
    let setup = match args.action.as_str() {
        "list" => return list(cx),
        "load" => SetupChange::Load(value.context("expected the model to load")?.to_owned()),
        "role" => SetupChange::Role(value.context("expected the role")?.to_owned()),
        "drain" => SetupChange::Drained(true),
        "undrain" => SetupChange::Drained(false),
        "withdraw" => SetupChange::Withdraw,
        other => {
            anyhow::bail!("expected load, role, drain, undrain, withdraw or list, not {other}")
        }
    };
    let name = args.name.as_deref().context("expected the name of the upstream")?;
    let description = match value {
        Some(value) => format!("order to {name}: {} {value}", args.action),
        None => format!("order to {name}: {}", args.action),
    };
    let change = Context::change_id(args.change_id)?;
    let upstream = UpstreamName::from(name);
    cx.change(Command::Order { change, upstream, setup }, &description, args.wait)
}

fn list(cx: &Context) -> anyhow::Result<()> {
    let statuses = cx.reachable_statuses();
    let newest = statuses.iter().max_by_key(|status| status.index);
    let newest = newest.context("no instance can be reached")?;
    let pools = statuses.iter().flat_map(|status| &status.pools);
    let stages: BTreeMap<&UpstreamName, &(u64, String)> =
        pools.flat_map(|pool| &pool.orders).collect();
    println!("upstream          number  wanted                    state");
    for order in &newest.orders {
        println!("{}", line(order, stages.get(&order.upstream).copied()));
    }
    Ok(())
}

fn line(order: &UpstreamOrder, stage: Option<&(u64, String)>) -> String {
    let state = match stage {
        _ if order.setup.is_empty() => "withdrawn",
        Some((number, text)) if *number == order.index => text,
        Some(_) => "not known to the dispatcher yet",
        None => "unknown to all dispatchers",
    };
    format!(
        "{:<16}  {:>6}  {:<24}  {state}",
        order.upstream.as_str(),
        order.index,
        wanted(&order.setup)
    )
}

fn wanted(setup: &Setup) -> String {
    let model = setup.model.as_ref().map(|model| format!("model {model}"));
    let role = setup.role.as_ref().map(|role| format!("role {role}"));
    let drained = setup.drained.map(|drained| if drained { "drained" } else { "running" });
    let parts = [model, role, drained.map(str::to_owned)];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    if parts.is_empty() { "nothing".to_owned() } else { parts.join(", ") }
}
