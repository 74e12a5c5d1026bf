//! Measures the cost of claims: the latency of requests with and without a key, and the number of appends to the log.
//!
//! Run with `cargo run --release -p fescuetide_bench --example claim_cost`.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::once::OnceCall;
use fescuetide_bench::once::OnceCaller;
use fescuetide_bench::once::read_log_status;
use fescuetide_classes::ClassTargets;
use fescuetide_wire::api::CallOutcome;

/// Number of requests per measurement.
const REQUEST_COUNT: usize = 800;

fn main() -> anyhow::Result<()> {
    let targets = |repeatable| ClassTargets {
        repeatable,
        ..ClassTargets::default()
    };
    let fleet = FleetProcesses::start(FleetSettings {
        routers: 3,
        engines: 0,
        services: 3,
        classes: vec![
            ("once".parse()?, targets(false)),
            ("repeatable".parse()?, targets(true)),
        ],
        ..FleetSettings::default()
    })?;
    let loads = [
        ("repeatable", 1),
        ("once", 1),
        ("repeatable", 16),
        ("once", 16),
        ("repeatable", 64),
        ("once", 64),
    ];
    for (class, callers) in loads {
        let caller = OnceCaller::new(&fleet, class);
        let appends = count_claims(&fleet)?;
        let start = Instant::now();
        let (mut spans, completed) = run_callers(&fleet, &caller, callers);
        let span = start.elapsed().as_secs_f64();
        spans.sort();
        let appends = count_claims(&fleet)? - appends;
        println!(
            "{class}, {callers} callers: {completed} of {REQUEST_COUNT} completed, {:.0} requests/s, \
             median {:?}, p99 {:?}, {appends} appends ({:.0}/s)",
            REQUEST_COUNT as f64 / span,
            spans[spans.len() / 2],
            spans[spans.len() * 99 / 100],
            appends as f64 / span,
        );
    }
    Ok(())
}

fn run_callers(
    fleet: &FleetProcesses,
    caller: &OnceCaller,
    callers: usize,
) -> (Vec<Duration>, usize) {
    let routers = fleet.router_addresses();
    let results = Mutex::new((Vec::new(), 0));
    thread::scope(|scope| {
        for number in 0..callers {
            let (routers, results) = (&routers, &results);
            scope.spawn(move || {
                for turn in 0..REQUEST_COUNT / callers {
                    let router = routers[(number + turn) % routers.len()];
                    let response = caller.send(router, &OnceCall::new());
                    let mut results = results.lock().expect("lock");
                    results.0.push(response.latency);
                    results.1 += usize::from(response.outcome == Some(CallOutcome::Completed));
                }
            });
        }
    });
    results.into_inner().expect("lock")
}

fn count_claims(fleet: &FleetProcesses) -> anyhow::Result<u64> {
    let status = read_log_status(fleet)?;
    let claims = status.appends.iter();
    Ok(claims
        .filter(|(name, _)| name.starts_with("claims-"))
        .map(|(_, count)| count)
        .sum())
}
