//! The resource usage of a process, read from `/proc`.

use std::fs;

/// The resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// CPU seconds of the control-plane threads: the main thread, connections to other instances,
    /// the platform client and the operator server.
    pub control_seconds: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// The unit of CPU times in `/proc`, `USER_HZ`, which is 100 on Linux.
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
            // The thread name may contain spaces, so fields are counted from its closing
            // parenthesis: user and system time are the 12th and 13th from there.
            let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
            let times = fields.get(11..13)?.iter().filter_map(|t| t.parse::<f64>().ok());
            control_seconds += times.sum::<f64>() / TICKS_PER_SECOND;
        }
        let statm = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
        Some(Usage { control_seconds, memory: pages * 4_096 })
    }
}
