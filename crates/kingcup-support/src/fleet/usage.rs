//! What a process takes of the machine.

use std::fs;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Processor seconds of its control state and messages: the control thread, the connections to
    /// other instances, the platform's list and operators.
    pub control_seconds: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// Processor time is counted in hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

impl Usage {
    pub(super) fn read(pid: u32) -> Option<Usage> {
        let mut control_seconds = 0.0;
        for task in fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten() {
            let is_main = task.file_name().to_str() == Some(&pid.to_string());
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            let is_control = ["peers", "platform", "operators"].iter().any(|n| name.starts_with(n));
            if !is_main && !is_control {
                continue;
            }
            let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The name in parentheses may hold spaces; user and system time follow as 12th and 13th.
            let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
            let times = fields.get(11..13)?.iter().filter_map(|t| t.parse::<f64>().ok());
            control_seconds += times.sum::<f64>() / TICKS_PER_SECOND;
        }
        let statm = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
        Some(Usage { control_seconds, memory: pages * 4_096 })
    }
}
