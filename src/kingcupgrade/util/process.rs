//! Logs the reason for which a process ends.
//!
//! The logs are the only evidence of the cause of a restart. They distinguish a process that was
//! asked to stop, one that failed and one that panicked. A process that is killed logs no such
//! line.

use std::{
    any::Any,
    panic::{self, AssertUnwindSafe, PanicHookInfo},
    process,
    thread::{self, JoinHandle},
};

use anyhow::anyhow;
use metrics::counter;
use serde::Serialize;

use super::log;

/// The exit status of a process in which an essential thread panicked.
const PANICKED_STATUS: i32 = 70;

/// The fields of the line logged for a panic in any thread.
#[derive(Serialize)]
struct Panicked<'a> {
    thread: Option<&'a str>,
    at: Option<String>,
    cause: String,
}

/// The fields of the last line logged by a process.
#[derive(Serialize)]
struct Ended {
    /// The error that ended the process; `None` if it was asked to stop.
    cause: Option<String>,
}

/// Runs a process with its logs directed to standard output, and logs how it ended.
///
/// # Errors
///
/// Returns the error that `run` returned, or an error with the message of its panic.
pub fn run_logged(run: impl FnOnce() -> anyhow::Result<()>) -> anyhow::Result<()> {
    log::init()?;
    panic::set_hook(Box::new(log_panic));
    let caught = panic::catch_unwind(AssertUnwindSafe(run));
    let ended = caught.unwrap_or_else(|payload| Err(anyhow!("panicked: {}", cause_of(&*payload))));
    finish(ended.as_ref().err().map(|err| format!("{err:#}")));
    ended
}

/// Starts an essential thread: if it panics, the process exits.
///
/// If the process continued without, for example, its control thread, it would keep serving with a
/// configuration that is never updated. After it exits, it is restarted.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn spawn_essential(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    let label = name.to_owned();
    thread::Builder::new().name(name.to_owned()).spawn(move || {
        if let Err(payload) = panic::catch_unwind(AssertUnwindSafe(run)) {
            finish(Some(format!("thread {label} panicked: {}", cause_of(&*payload))));
            process::exit(PANICKED_STATUS);
        }
    })
}

fn finish(cause: Option<String>) {
    log::finish("ended", &Ended { cause });
}

fn log_panic(info: &PanicHookInfo<'_>) {
    counter!("kingcup_panics").increment(1);
    let current = thread::current();
    let line = Panicked {
        thread: current.name(),
        at: info.location().map(ToString::to_string),
        cause: cause_of(info.payload()),
    };
    log::warning("panicked", &line);
}

fn cause_of(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}
