//! What became of a process that a test started, read from `/proc`.
//!
//! A process that ended by a signal logs nothing, and neither does one that is still stopped. When a
//! test fails because an instance does not respond, only this tells the two from one that runs and
//! does the wrong thing.

use std::{
    fmt::Write,
    fs,
    os::unix::process::ExitStatusExt,
    path::Path,
    process::{Child, ExitStatus},
};

/// The number of log lines shown.
const LAST_LINES: usize = 12;

/// Describes a child process: how it ended, or else what each of its threads is doing.
pub fn describe(child: &mut Child) -> String {
    match child.try_wait() {
        Ok(Some(status)) => format!("ended: {}", describe_status(status)),
        Ok(None) => format!("pid {} runs: {}", child.id(), describe_threads(child.id())),
        Err(err) => format!("unknown: {err}"),
    }
}

/// Returns the last lines of a process's output, indented.
pub fn last_lines(output: &str) -> String {
    let lines: Vec<&str> = output.lines().collect();
    let last = lines.iter().skip(lines.len().saturating_sub(LAST_LINES));
    last.fold(String::new(), |all, line| all + "    " + line + "\n")
}

fn describe_status(status: ExitStatus) -> String {
    match status.signal() {
        Some(signal) => format!("signal {signal}, core dumped {}", status.core_dumped()),
        None => status.to_string(),
    }
}

/// Describes each thread: its name, its state, what it waits for in the kernel, and how often it
/// has been switched out by itself and by the scheduler.
fn describe_threads(pid: u32) -> String {
    let tasks = match fs::read_dir(format!("/proc/{pid}/task")) {
        Ok(tasks) => tasks,
        Err(err) => return err.to_string(),
    };
    let mut text = String::new();
    for task in tasks.flatten() {
        let status = read(&task.path().join("status"));
        let field = |name: &str| {
            let mut values = status.lines().filter_map(|line| line.strip_prefix(name));
            values.next().map_or("?", str::trim).to_owned()
        };
        let (wchan, syscall) =
            (read(&task.path().join("wchan")), read(&task.path().join("syscall")));
        let switches = (field("voluntary_ctxt_switches:"), field("nonvoluntary_ctxt_switches:"));
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "\n    {}: {}, in {}, call {}, switched {} and {} times",
            field("Name:"),
            field("State:"),
            wchan.trim(),
            syscall.split(' ').next().unwrap_or("?").trim(),
            switches.0,
            switches.1,
        );
    }
    text
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|err| err.to_string())
}
