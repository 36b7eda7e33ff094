//! The commands, one in each file.

mod apply;
mod backup;
mod check;
mod domain;
mod explain;
mod get;
mod history;
mod member;
mod order;
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

/// The fleet file used if none is named.
const DEFAULT_FLEET: &str = "fleet.yaml";
/// How long `--wait` waits.
const WAIT_PATIENCE: Duration = Duration::from_secs(30);
/// How often `--wait` asks.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);

/// What every command needs.
pub(crate) struct Context {
    client: OperatorClient,
}

/// Runs the command that was named.
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
        KingcupCmd::Status(args) => status::exec(&cx, &args),
        KingcupCmd::Member(args) => member::exec(&cx, &args),
        KingcupCmd::Check(_) | KingcupCmd::Verify(_) | KingcupCmd::Explain(_) => Ok(()),
    }
}

impl Context {
    /// Returns the change id given, or a new one.
    fn change_id(given: Option<String>) -> anyhow::Result<String> {
        given.map_or_else(fresh_change_id, Ok)
    }

    /// Makes a change, says what came of it, and waits until it is in force if asked to.
    fn change(&self, command: Command, what: &str, wait: bool) -> anyhow::Result<()> {
        let Reply::Accepted { revision, index } = self.client.change(command)? else {
            anyhow::bail!("the record gave an answer that does not fit the change");
        };
        match revision {
            0 => println!("{what}: accepted"),
            revision => println!("{what}: accepted as revision {revision}"),
        }
        if wait { self.wait_in_force(index) } else { Ok(()) }
    }

    /// Returns the status of every instance that can be reached.
    fn reached(&self) -> Vec<Status> {
        let statuses = self.client.instances().map(|instance| self.client.status(instance));
        statuses.filter_map(Result::ok).collect()
    }

    /// Waits until every instance that can be reached has the change at `index` in force.
    fn wait_in_force(&self, index: u64) -> anyhow::Result<()> {
        let start = Instant::now();
        loop {
            let reached = self.reached();
            let behind = reached.iter().filter(|status| status.index < index).count();
            if behind == 0 && !reached.is_empty() {
                let ms = start.elapsed().as_millis();
                println!("in force on {} instances after {ms} ms", reached.len());
                return Ok(());
            }
            if start.elapsed() > WAIT_PATIENCE {
                anyhow::bail!("accepted, but {behind} instances do not have it in force yet");
            }
            thread::sleep(WAIT_INTERVAL);
        }
    }
}
