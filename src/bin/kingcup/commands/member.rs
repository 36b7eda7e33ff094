use anyhow::Context as _;
use kingcupgrade::{
    core::Instance,
    protocol::{
        consensus::Member as RecordMember,
        operator::{OperatorReply, OperatorRequest},
        record::{Command, Reply},
    },
};

use super::Context;
use crate::flags::Member;

pub(crate) fn exec(cx: &Context, args: &Member) -> anyhow::Result<()> {
    match args.action.as_str() {
        "list" => list(cx),
        "add" => change(cx, true, args.name.as_deref()),
        "remove" => change(cx, false, args.name.as_deref()),
        other => anyhow::bail!("expected list, add or remove, not {other}"),
    }
}

fn list(cx: &Context) -> anyhow::Result<()> {
    let OperatorReply::Members { members, leader } = cx.client.ask(&OperatorRequest::Members)?
    else {
        anyhow::bail!("unexpected answer of the instance");
    };
    print_members(&members);
    match leader {
        Some(leader) => println!("leader: {leader}"),
        None => println!("leader: none known"),
    }
    Ok(())
}

fn change(cx: &Context, add: bool, name: Option<&str>) -> anyhow::Result<()> {
    let name = name.context("expected the name of the instance")?;
    let (instance, replica) = match name.split_once('#') {
        Some((instance, number)) => {
            let number = u64::from_str_radix(number, 16)
                .with_context(|| format!("{number} is not a replica number"))?;
            (instance, Some(number))
        }
        None => (name, None),
    };
    let instance = Instance::from(instance);
    let command = Command::ChangeMembers { add, instance, replica };
    let Reply::Members(members) = cx.client.change(command)? else {
        anyhow::bail!("unexpected reply of the record to the change");
    };
    print_members(&members);
    Ok(())
}

fn print_members(members: &[RecordMember]) {
    for member in members {
        let role = if member.voter { "votes" } else { "catches up" };
        println!("{}  {role}", member.id);
    }
}
