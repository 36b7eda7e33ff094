//! The subcommands, one per file.

mod apply;
mod backup;
mod check;
mod domain;
mod explain;
mod get;
mod history;
mod member;
mod order;
mod rollout;
mod status;
mod upstream;
mod verify;

use std::{
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use kingcupgrade::{
    ops::{OperatorClient, fresh_change_id},
    protocol::{
        operator::Status,
        record::{Command, Reply},
    },
};

use crate::flags::{Kingcup, KingcupCmd};

/// The fleet file used if `--fleet` is not given.
const DEFAULT_FLEET: &str = "fleet.yaml";
/// How long `--wait` waits at most.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// How often `--wait` polls the instances.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// The state shared by all commands that contact the fleet.
pub(crate) struct Context {
    client: OperatorClient,
}

/// Runs the subcommand given on the command line.
pub(crate) fn run(flags: Kingcup) -> anyhow::Result<()> {
    match &flags.subcommand {
        KingcupCmd::Check(args) => return check::exec(args),
        KingcupCmd::Verify(args) => return verify::exec(args),
        KingcupCmd::Explain(args) => return explain::exec(args),
        _ => {}
    }
    let fleet = flags.fleet.unwrap_or_else(|| PathBuf::from(DEFAULT_FLEET));
    let cx = Context { client: OperatorClient::from_file(Path::new(&fleet))? };
    match flags.subcommand {
        KingcupCmd::Apply(args) => apply::exec(&cx, args),
        KingcupCmd::Backup(args) => backup::exec(&cx, &args),
        KingcupCmd::Get(args) => get::exec(&cx, &args),
        KingcupCmd::History(args) => history::exec(&cx, &args),
        KingcupCmd::Domain(args) => domain::exec(&cx, args),
        KingcupCmd::Upstream(args) => upstream::exec(&cx, args),
        KingcupCmd::Order(args) => order::exec(&cx, args),
        KingcupCmd::Rollout(args) => rollout::exec(&cx, args),
        KingcupCmd::Status(args) => status::exec(&cx, &args),
        KingcupCmd::Member(args) => member::exec(&cx, &args),
        KingcupCmd::Check(_) | KingcupCmd::Verify(_) | KingcupCmd::Explain(_) => Ok(()),
    }
}

impl Context {
    /// Returns the given change id, or a new one.
    fn change_id(given: Option<String>) -> anyhow::Result<String> {
        given.map_or_else(fresh_change_id, Ok)
    }

    /// Applies a command to the record, prints the result and, if `wait` is set, waits until the
    /// change is in force.
    fn change(&self, command: Command, description: &str, wait: bool) -> anyhow::Result<()> {
        let Reply::Accepted { revision, index } = self.client.change(command)? else {
            anyhow::bail!("unexpected reply of the record to the change");
        };
        match revision {
            0 => println!("{description}: accepted"),
            revision => println!("{description}: accepted as revision {revision}"),
        }
        if wait { self.wait_in_force(index) } else { Ok(()) }
    }

    /// Returns the status of all reachable instances.
    fn reachable_statuses(&self) -> Vec<Status> {
        let statuses = self.client.instances().map(|instance| self.client.status(instance));
        statuses.filter_map(Result::ok).collect()
    }

    /// Waits until the change at `index` is in force at all reachable instances.
    fn wait_in_force(&self, index: u64) -> anyhow::Result<()> {
        let start = Instant::now();
        loop {
            let reachable = self.reachable_statuses();
            let behind = reachable.iter().filter(|status| status.index < index).count();
            if behind == 0 && !reachable.is_empty() {
                let ms = start.elapsed().as_millis();
                println!("in force on {} instances after {ms} ms", reachable.len());
                return Ok(());
            }
            if start.elapsed() > WAIT_TIMEOUT {
                anyhow::bail!("accepted, but not in force yet on {behind} instances");
            }
            thread::sleep(WAIT_INTERVAL);
        }
    }
}
