//! Shares of the retry burst that several gateways use.

use fescuetide_fleet::WorkKind;
use fescuetide_flow::AttemptEvent;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::LoadReport;

use crate::harness::SchedulerHarness;

/// Number of requests in progress at each gateway; more than a load sample needs.
const IN_PROGRESS: u32 = 30;

/// Guards against gateways that each take themselves for most of the fleet, because the loads that upstreams report leave out
/// the requests of the others, and whose parts of the burst then add up to more than the whole.
#[test]
fn parts_of_the_burst_never_add_up_to_more_than_the_whole() {
    for size in [1, 2, 4, 5, 22, 600] {
        let mut harness = SchedulerHarness::with_upstreams(12);
        harness.scheduler.set_gateway_count(size);
        for _ in 0..IN_PROGRESS {
            let key = harness.arrive(WorkKind::ResumableStream, 2);
            harness.expect_send(key);
            harness.note(key, AttemptEvent::Sent);
            let report = LoadReport {
                running: 1,
                waiting: 0,
                slots: 128,
            };
            harness.note(key, AttemptEvent::StreamStarted(Some(report)));
            while harness.next().is_some() {}
        }
        for _ in 0..200 {
            harness.advance(500);
        }
        let sum = harness.scheduler.own_budget().burst * size as f64;
        let whole = FlowSettings::default().retries.burst;
        assert!(sum <= whole * 1.001, "{size} gateways: {sum} of {whole}");
    }
}
