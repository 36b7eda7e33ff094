//! How a process ends: one line in the log for each way.
//!
//! Whoever looks for the cause of a restart has only the logs. A process that is told to stop, one
//! that fails and one that panics must look different there; one that is killed from outside writes
//! no such line.

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

/// The status of a process that ends because a thread that it can't do without panicked.
const PANICKED_STATUS: i32 = 70;

/// The line that tells of a panic, wherever it happens.
#[derive(Serialize)]
struct Panicked<'a> {
    thread: Option<&'a str>,
    at: Option<String>,
    cause: String,
}

/// The last line of a process.
#[derive(Serialize)]
struct Ended {
    /// Why it ends, if not because it was told to.
    cause: Option<String>,
}

/// Runs a process with its logs directed to standard output, and logs how it ended.
///
/// # Errors
///
/// Returns the error with which it ended; a panic is one.
pub fn run_logged(run: impl FnOnce() -> anyhow::Result<()>) -> anyhow::Result<()> {
    log::init()?;
    panic::set_hook(Box::new(log_panic));
    let caught = panic::catch_unwind(AssertUnwindSafe(run));
    let ended = caught.unwrap_or_else(|payload| Err(anyhow!("panicked: {}", cause_of(&*payload))));
    finish(ended.as_ref().err().map(|err| format!("{err:#}")));
    ended
}

/// Starts a thread that the process can't do without: if it panics, the process ends.
///
/// Without its control thread, for one, a process would go on serving by a configuration that
/// nobody replaces any more. Ended, it is started again.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
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
