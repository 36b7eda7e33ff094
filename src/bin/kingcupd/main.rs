//! The daemon, which runs one instance of a fleet.

mod flags;

use std::process::ExitCode;

use kingcupgrade::{core::Settings, ops};

use crate::flags::{Check, Kingcupd, KingcupdCmd};

fn main() -> ExitCode {
    let flags = Kingcupd::from_env_or_exit();
    let result = match flags.subcommand {
        KingcupdCmd::Run(run) => ops::serve(&run.settings),
        KingcupdCmd::Init(init) => ops::init(&init.settings, init.from.as_deref()),
        KingcupdCmd::Check(check) => check_settings(&check),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn check_settings(check: &Check) -> anyhow::Result<()> {
    let settings = Settings::load(&check.path)?;
    println!("{}: valid settings of {}", check.path.display(), settings.instance);
    Ok(())
}
