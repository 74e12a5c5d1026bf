//! Implements `--wait`: waits until a change is in force on all live routers.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::LogOffset;
use fescuetide_wire::log::CLASS_STREAM;

use crate::arguments::CommandArguments;
use crate::context::ToolContext;
use crate::fleet::call_all;
use crate::fleet::live_routers;
use crate::fleet::router_status;
use crate::report::CommandReport;
use crate::report::ToolError;

/// Default of `--wait-limit-ms`.
const DEFAULT_WAIT_LIMIT_MS: u64 = 15_000;

/// Delay between two polls of the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Help text of `--wait` and `--wait-limit-ms`.
pub(crate) const WAIT_HELP: &str = "
  --wait              Wait until all live routers have the change in force
  --wait-limit-ms N   Longest wait (default 15000); exit code 1 after it
";

/// If `--wait` is given, waits until all live routers have folded the record at `offset`, and reports the time that has
/// passed since `start`.
pub(crate) fn wait_if_requested(
    context: &ToolContext,
    arguments: &CommandArguments,
    offset: Option<LogOffset>,
    start: Instant,
    report: &mut CommandReport,
) -> Result<(), ToolError> {
    let limit: Option<u64> = arguments.parse_option("wait-limit-ms")?;
    let Some(offset) = offset.filter(|_| arguments.has_flag("wait")) else {
        return Ok(());
    };
    let limit = Duration::from_millis(limit.unwrap_or(DEFAULT_WAIT_LIMIT_MS));
    loop {
        let outcome = poll_routers(context, offset);
        let millis = start.elapsed().as_millis() as u64;
        match outcome {
            PollOutcome::InForce(count) => {
                report
                    .text
                    .push_str(&format!("in force on {count} routers after {millis} ms\n"));
                report.json["routers"] = count.into();
                report.json["in_force_after_ms"] = millis.into();
                return Ok(());
            }
            PollOutcome::LogTruncated(message) => {
                report.failure = Some(message);
                return Ok(());
            }
            PollOutcome::Behind(names) if start.elapsed() >= limit => {
                let names = names.join(", ");
                report.failure = Some(format!("not in force after {millis} ms: {names}"));
                return Ok(());
            }
            PollOutcome::Behind(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Result of polling all live routers once.
#[derive(Debug)]
enum PollOutcome {
    /// All live routers have folded the record. Holds their number.
    InForce(usize),
    /// The record is not known to be in force yet. Holds the reasons.
    Behind(Vec<String>),
    /// The log ends below an offset that a router has folded, so offsets do not show which changes are in force.
    LogTruncated(String),
}

fn poll_routers(context: &ToolContext, offset: LogOffset) -> PollOutcome {
    let routers = match context.read_vms() {
        Ok(list) => live_routers(&list),
        Err(error) => return PollOutcome::Behind(vec![format!("{error:#}")]),
    };
    let mut behind = Vec::new();
    let mut highest = LogOffset::default();
    if routers.is_empty() {
        behind.push("the VM list has no live router".to_owned());
    }
    let results = call_all(context, &routers, router_status);
    for (router, result) in routers.iter().zip(results) {
        match result {
            Ok(status) if status.class_offset > offset.get() => {
                highest = highest.max(LogOffset::new(status.class_offset));
            }
            Ok(status) => behind.push(format!(
                "{} is at offset {}",
                router.name, status.class_offset
            )),
            Err(error) => behind.push(format!("{} does not answer ({error})", router.name)),
        }
    }
    if !behind.is_empty() {
        return PollOutcome::Behind(behind);
    }
    match context.log.read(CLASS_STREAM, highest, 1) {
        Err(error) => PollOutcome::Behind(vec![format!("log service: {error}")]),
        Ok(reply) if reply.next < highest.get() => PollOutcome::LogTruncated(format!(
            "the log ends at offset {}, but a router has folded it up to {highest}: the log has lost records, and the change is not in force",
            reply.next
        )),
        Ok(_) => PollOutcome::InForce(routers.len()),
    }
}
