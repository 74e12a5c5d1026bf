//! CPU time and memory of processes, read from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// Clock ticks per second in `/proc` (`USER_HZ`), which is 100 on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Indices of the user and system time in `/proc/{pid}/stat`, counted after the program name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Resources used by a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// CPU time since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub rss_bytes: u64,
}

/// Reads the usage of a process.
///
/// # Errors
///
/// Fails when the process does not exist.
pub fn read_usage(id: u32) -> anyhow::Result<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program name is in parentheses and may contain spaces.
    let (_, rest) = stat.rsplit_once(')').context("malformed process status")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let user: u64 = fields
        .get(USER_FIELD)
        .context("missing user time in process status")?
        .parse()?;
    let system: u64 = fields
        .get(SYSTEM_FIELD)
        .context("missing system time in process status")?
        .parse()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let mut rss_bytes = 0;
    for line in status.lines() {
        let Some(value) = line.strip_prefix("VmRSS:") else {
            continue;
        };
        let kilobytes: u64 = value.trim().trim_end_matches(" kB").parse()?;
        rss_bytes = kilobytes * 1024;
    }
    Ok(ProcessUsage {
        cpu: Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND),
        rss_bytes,
    })
}
