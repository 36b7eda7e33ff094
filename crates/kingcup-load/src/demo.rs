//! A fleet at work, for a first look.

use std::io::{IsTerminal, Write};

use crate::{
    experiment,
    scenario::{Policy, Scenario},
};

/// How long the demo measures.
const DEFAULT_SECONDS: u64 = 15;

/// Shows a fleet at work; returns whether every promise that was checked held.
pub(crate) fn exec(seconds: Option<u64>) -> anyhow::Result<bool> {
    println!("Three failure domains, each with three entries, a control instance, three model");
    println!(
        "engines and a plain service. Sixteen organisations call; one domain goes and returns."
    );
    let is_terminal = std::io::stdout().is_terminal();
    let progress = |line: &str| {
        if is_terminal {
            print!("\r\x1b[K{line}");
        } else {
            println!("{line}");
        }
        // Without a flush the line would wait for the next newline.
        let _ = std::io::stdout().flush();
    };
    let seconds = Some(seconds.unwrap_or(DEFAULT_SECONDS));
    let result = experiment::run(Scenario::DomainOut, Policy::Pooled, seconds, &progress)?;
    println!();
    println!("{}", result.summary());
    Ok(result.broken_promises().is_empty())
}
