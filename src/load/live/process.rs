//! Resource usage of other processes, read from `/proc`, and signals to them.

use std::fs;
use std::path::Path;

use serde::Serialize;

/// Resource usage of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Process id.
    pub pid: i32,
    /// Processor time in user and system mode, in milliseconds.
    pub cpu_ms: u64,
    /// Resident memory, in kilobytes.
    pub resident_kb: u64,
    /// Peak resident memory, in kilobytes.
    pub resident_peak_kb: u64,
    /// Number of threads.
    pub threads_count: u64,
}

/// Reads a process id from a file.
///
/// # Errors
///
/// A text that names the file and why it cannot be used.
pub fn read_pid(path: &Path) -> Result<i32, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    match text.trim().parse() {
        Ok(pid) if pid > 1 => Ok(pid),
        _ => Err(format!("{}: the file holds no process id", path.display())),
    }
}

/// Reads the resource usage of the process `pid`; `None` if the process has ended.
pub fn read_usage(pid: i32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name, in parentheses, may contain spaces. The field after it is the third one.
    let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let row = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    Some(Usage {
        pid,
        cpu_ms: (ticks(11)? + ticks(12)?) * 1_000 / ticks_per_s(),
        resident_kb: row("VmRSS:")?,
        resident_peak_kb: row("VmHWM:")?,
        threads_count: row("Threads:")?,
    })
}

/// Sends a signal to the process `pid`.
///
/// # Errors
///
/// The text of the operating system's error.
pub fn send_signal(pid: i32, signal: i32) -> Result<(), String> {
    // SAFETY: `kill` touches no memory of this process.
    match unsafe { libc::kill(pid, signal) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error().to_string()),
    }
}

fn ticks_per_s() -> u64 {
    // SAFETY: `sysconf` touches no memory of this process.
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    u64::try_from(ticks).unwrap_or(100).max(1)
}
