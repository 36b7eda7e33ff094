//! The operator's command line.

mod commands;
mod flags;

use std::process::ExitCode;

use kingcupgrade::{
    core::{Code, Outcome},
    ops,
};

/// The exit code of a command that was refused or failed.
const REFUSED: u8 = 1;
/// The exit code of a change that conflicts with an earlier one.
const CONFLICT: u8 = 3;
/// The exit code of a change whose outcome is unknown. Sending it again with the same id is safe.
const UNKNOWN: u8 = 4;

fn main() -> ExitCode {
    let flags = flags::Kingcup::from_env_or_exit();
    match commands::run(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err:#}");
            ExitCode::from(exit_code(&err))
        }
    }
}

fn exit_code(err: &anyhow::Error) -> u8 {
    match ops::coded_error(err).map(|coded| coded.code) {
        Some(Code::RevisionConflict | Code::Overtaken) => CONFLICT,
        Some(code) if code.outcome() == Outcome::Unknown => UNKNOWN,
        _ => REFUSED,
    }
}
