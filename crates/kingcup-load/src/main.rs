//! The load-test tool: starts a local fleet of real processes with fake upstreams, runs experiments
//! on it and evaluates the records of the fake upstreams.

mod decisions;
mod demo;
mod drive;
mod environment;
mod experiment;
mod flags;
mod load;
mod measure;
mod record;
mod report;
mod result;
mod rollouts;
mod scenario;
mod slopes;
mod synthetic;

use std::process::ExitCode;

use anyhow::Context;
use kingcupgrade::ops;

use crate::{
    flags::{KingcupLoad, KingcupLoadCmd},
    scenario::{Policy, Scenario},
};

fn main() -> ExitCode {
    let flags = KingcupLoad::from_env_or_exit();
    let result = match flags.subcommand {
        KingcupLoadCmd::Demo(args) => demo::exec(args.seconds),
        KingcupLoadCmd::Run(args) => run(&args),
        KingcupLoadCmd::Slopes(_) => slopes::exec(),
        KingcupLoadCmd::Slope(args) => slopes::exec_one(&args.part, args.factor),
        KingcupLoadCmd::Report(args) => report::exec(&args.results, &args.out),
        KingcupLoadCmd::Record(_) => record::exec(),
        KingcupLoadCmd::Drive(_) => drive::exec(),
        KingcupLoadCmd::Decisions(_) => decisions::exec(),
        KingcupLoadCmd::Rollouts(args) => rollouts::exec(&args),
        KingcupLoadCmd::Instance(args) => ops::serve(&args.settings).map(|()| true),
        KingcupLoadCmd::Init(args) => ops::init(&args.settings, None).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &flags::Run) -> anyhow::Result<bool> {
    let scenario = Scenario::parse(&args.scenario).with_context(|| {
        format!("unknown scenario {}; expected one of {}", args.scenario, Scenario::names())
    })?;
    let policy = match args.policy.as_deref() {
        None | Some("pooled") => Policy::Pooled,
        Some("static") => Policy::Static,
        Some(other) => anyhow::bail!("unknown policy {other}; expected pooled or static"),
    };
    let result = experiment::run(scenario, policy, args.seconds, &|line| {
        if !args.json {
            eprintln!("{line}");
        }
    })?;
    if args.json {
        println!("{}", serde_json::to_string(&result)?);
    } else {
        println!("{}", result.summary());
    }
    Ok(result.failed_checks().is_empty())
}
