//! A demonstration of a local fleet under load.

use std::io::{IsTerminal, Write};

use crate::{
    experiment,
    scenario::{Policy, Scenario},
};

/// The default duration of the measurement.
const DEFAULT_SECONDS: u64 = 15;

/// Runs the `domain-out` scenario with pooled slots and prints its progress and summary.
///
/// Returns whether all checks passed.
pub(crate) fn exec(seconds: Option<u64>) -> anyhow::Result<bool> {
    println!("Three failure domains, each with three entries, one control instance, three model");
    println!(
        "engines and a plain service. Sixteen organisations send requests. One failure domain is\n\
         taken out of service and back in."
    );
    let is_terminal = std::io::stdout().is_terminal();
    let progress = |line: &str| {
        if is_terminal {
            print!("\r\x1b[K{line}");
        } else {
            println!("{line}");
        }
        // Standard output is line-buffered, and the line above has no newline.
        let _ = std::io::stdout().flush();
    };
    let seconds = Some(seconds.unwrap_or(DEFAULT_SECONDS));
    let result = experiment::run(Scenario::DomainOut, Policy::Pooled, seconds, &progress)?;
    println!();
    println!("{}", result.summary());
    Ok(result.failed_checks().is_empty())
}
