//! Waits until a change is in force on all routers.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::LogOffset;

use crate::arguments::CommandArguments;
use crate::context::ToolContext;
use crate::fleet::ask_all;
use crate::fleet::live_routers;
use crate::fleet::router_status;
use crate::report::CommandReport;
use crate::report::ToolError;

/// How long `--wait` waits when no limit is given.
const WAIT_LIMIT_MS: u64 = 15_000;

/// Wait between two rounds.
const ROUND_WAIT: Duration = Duration::from_millis(100);

/// Help lines of the options.
pub(crate) const WAIT_HELP: &str = "
  --wait              Wait until all live routers have the change in force
  --wait-limit-ms N   Longest wait (default 15000); exit code 1 after it
";

/// When `--wait` is given, waits until all live routers have folded the record at `offset`, and adds how long it took
/// since `start`.
pub(crate) fn wait_if_asked(
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
    let limit = Duration::from_millis(limit.unwrap_or(WAIT_LIMIT_MS));
    loop {
        let behind = list_behind(context, offset)?;
        let millis = start.elapsed().as_millis() as u64;
        if let Ok(count) = &behind {
            report
                .text
                .push_str(&format!("in force on {count} routers after {millis} ms\n"));
            report.json["routers"] = (*count).into();
            report.json["in_force_after_ms"] = millis.into();
            return Ok(());
        }
        if start.elapsed() >= limit {
            let names = behind.err().unwrap_or_default().join(", ");
            report.failure = Some(format!("not in force after {millis} ms on: {names}"));
            return Ok(());
        }
        thread::sleep(ROUND_WAIT);
    }
}

/// The number of live routers when all have folded `offset`, else those that have not, with their state.
fn list_behind(
    context: &ToolContext,
    offset: LogOffset,
) -> Result<Result<usize, Vec<String>>, ToolError> {
    let routers = live_routers(&context.read_vms()?);
    let mut behind = Vec::new();
    if routers.is_empty() {
        behind.push("no live router is listed".to_owned());
    }
    let results = ask_all(context, &routers, router_status);
    for (router, result) in routers.iter().zip(results) {
        match result {
            Ok(status) if status.class_offset > offset.get() => {}
            Ok(status) => behind.push(format!("{} at offset {}", router.name, status.class_offset)),
            Err(error) => behind.push(format!("{} ({error})", router.name)),
        }
    }
    if behind.is_empty() {
        Ok(Ok(routers.len()))
    } else {
        Ok(Err(behind))
    }
}
