//! Control traffic of a fleet of the size that the users run.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::probe::StatusProbe;
use fescuetide_bench::process::wait_for;
use fescuetide_classes::ClassTargets;

/// Maximum control bytes per second that a router may send and receive.
const BYTE_LIMIT: f64 = 2_000.0;

const MEASUREMENT_TIME: Duration = Duration::from_secs(4);

/// Timeout until all routers count all upstreams, which normally takes about three periods of 500 ms.
const COUNT_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a collector tree that misses upstreams or counts them twice, also after its root is lost, and against
/// an idle fleet whose control traffic exceeds the budget.
#[test]
fn routers_know_all_upstreams_within_the_control_budget() {
    // Routers become ready only once there is a class.
    let class = ("chat".parse().expect("class name"), ClassTargets::default());
    let mut fleet = FleetProcesses::start(FleetSettings {
        classes: vec![class],
        ..FleetSettings::default()
    })
    .expect("fleet starts");
    let probe = StatusProbe::new().expect("probe");
    wait_for_counts(&fleet, &probe);
    let bytes = |fleet: &FleetProcesses| -> Vec<u64> {
        let routers = fleet.routers.iter();
        let status = routers.map(|router| probe.router(router.vm.control).expect("status"));
        status.map(|status| status.control_bytes).collect()
    };
    let before = bytes(&fleet);
    let start = Instant::now();
    thread::sleep(MEASUREMENT_TIME);
    let after = bytes(&fleet);
    let span = start.elapsed().as_secs_f64();
    for (before, after) in before.iter().zip(after) {
        let rate = (after - before) as f64 / span;
        println!("control bytes/s of a router without requests: {rate:.0}");
        assert!(rate < BYTE_LIMIT, "{rate}");
    }
    // Either the root is one of the two killed routers, or the last router is the root and loses its children.
    fleet.routers.remove(0);
    wait_for_counts(&fleet, &probe);
    fleet.routers.remove(0);
    wait_for_counts(&fleet, &probe);
}

fn wait_for_counts(fleet: &FleetProcesses, probe: &StatusProbe) {
    wait_for("sums over all upstreams", COUNT_TIMEOUT, || {
        fleet.routers.iter().all(|router| {
            let Ok(status) = probe.router(router.vm.control) else {
                return false;
            };
            let counts: Vec<u32> = status.sums.iter().map(|(_, sum)| sum.count).collect();
            counts.contains(&12) && counts.contains(&3) && counts.len() == 2
        })
    })
    .expect("all upstreams are counted once");
}
