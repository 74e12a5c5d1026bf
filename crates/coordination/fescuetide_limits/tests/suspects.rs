//! Property test of the suspect tables of two routers and the admission control of several upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_limits::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const UPSTREAMS: usize = 3;
const ROUTERS: usize = 2;

/// A poison request: crashes the upstream whenever it finishes.
const POISON_REQUEST: u8 = 0;

#[derive(Clone, Debug)]
enum CrashStep {
    Send {
        request: u8,
        router: usize,
        upstream: usize,
    },
    Finish {
        upstream: usize,
        index: usize,
    },
    Exchange,
    Wait(u64),
}

struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = CrashStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<CrashStep> {
        let request = prop_oneof![1 => Just(POISON_REQUEST), 3 => 1_u8..12];
        prop_oneof![
            6 => (request, 0..ROUTERS, 0..UPSTREAMS).prop_map(|(request, router, upstream)| {
                // The caller resends to a single router: other routers learn of it only after the second crash.
                let router = if request == POISON_REQUEST { 0 } else { router };
                CrashStep::Send { request, router, upstream }
            }),
            4 => (0..UPSTREAMS, any::<usize>())
                .prop_map(|(upstream, index)| CrashStep::Finish { upstream, index }),
            1 => Just(CrashStep::Exchange),
            1 => (0_u64..400_000).prop_map(CrashStep::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &CrashStep) {}
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct RunningRequest {
    request: u8,
    router: usize,
    suspect: bool,
}

struct CrashFleet {
    now: ClockMillis,
    tables: [SuspectTable; ROUTERS],
    limiters: [LoadLimiter; UPSTREAMS],
    running: [Vec<RunningRequest>; UPSTREAMS],
    /// Times of the crashes.
    crashes: Vec<u64>,
    /// Expiry of the latest refusal.
    refused_until: u64,
}

fn fingerprint_of(request: u8) -> CrashFingerprint {
    CrashFingerprint::of(&"atelier".parse().expect("name"), &[request])
}

impl CrashFleet {
    fn send(&mut self, request: u8, router: usize, upstream: usize) {
        let fingerprint = fingerprint_of(request);
        let refused = self.tables[router].refusal(fingerprint, self.now).is_some();
        assert!(
            !refused || request == POISON_REQUEST,
            "harmless request {request} is refused"
        );
        let now = self.now.as_millis();
        let recent = self
            .crashes
            .iter()
            .filter(|at| now < **at + 600_000)
            .count();
        assert!(
            request != POISON_REQUEST || refused || recent < 2,
            "not refused after crashes at {:?}",
            self.crashes
        );
        assert!(!refused || now < self.refused_until, "refused for too long");
        // A caller has at most one copy of its request in flight.
        let is_running = self
            .running
            .iter()
            .flatten()
            .any(|run| run.request == request);
        if refused || is_running {
            return;
        }
        let suspect = self.tables[router].is_suspect(fingerprint, self.now);
        let rule = AdmitRule::AtMost(LoadCount::new(20));
        let limiter = &mut self.limiters[upstream];
        let admitted = if suspect {
            limiter.admit_suspect(rule)
        } else {
            limiter.admit(rule)
        };
        let others = self.running[upstream].iter().any(|run| run.suspect);
        assert_eq!(admitted.is_ok(), !(suspect && others), "{admitted:?}");
        if admitted.is_ok() {
            self.running[upstream].push(RunningRequest {
                request,
                router,
                suspect,
            });
        }
    }

    fn finish(&mut self, upstream: usize, index: usize) {
        if self.running[upstream].is_empty() {
            return;
        }
        let index = index % self.running[upstream].len();
        let run = self.running[upstream][index];
        if run.request == POISON_REQUEST {
            for run in std::mem::take(&mut self.running[upstream]) {
                self.release(upstream, run);
                self.tables[run.router].note_crash(fingerprint_of(run.request), self.now);
            }
            self.crashes.push(self.now.as_millis());
            self.refused_until = self.now.as_millis() + 600_000;
            return;
        }
        self.running[upstream].swap_remove(index);
        self.release(upstream, run);
        self.tables[run.router].note_completed(fingerprint_of(run.request));
    }

    fn release(&mut self, upstream: usize, run: RunningRequest) {
        let limiter = &mut self.limiters[upstream];
        if run.suspect {
            limiter.release_suspect()
        } else {
            limiter.release()
        }
    }

    fn exchange(&mut self) {
        for from in 0..ROUTERS {
            for (fingerprint, left) in self.tables[from].list_refused(self.now) {
                for table in &mut self.tables {
                    table.learn(fingerprint, left, self.now);
                    assert!(table.refusal(fingerprint, self.now).is_some());
                }
            }
        }
    }
}

impl StateMachineTest for CrashFleet {
    type SystemUnderTest = Self;
    type Reference = StepSource;

    fn init_test((): &()) -> Self {
        Self {
            now: ClockMillis::new(1_000_000),
            tables: Default::default(),
            limiters: Default::default(),
            running: Default::default(),
            crashes: Default::default(),
            refused_until: 0,
        }
    }

    fn apply(mut fleet: Self, (): &(), step: CrashStep) -> Self {
        match step {
            CrashStep::Send {
                request,
                router,
                upstream,
            } => fleet.send(request, router, upstream),
            CrashStep::Finish { upstream, index } => fleet.finish(upstream, index),
            CrashStep::Exchange => fleet.exchange(),
            CrashStep::Wait(span) => fleet.now = fleet.now + SpanMillis::new(span),
        }
        fleet
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a request that keeps crashing upstreams, refusal of other requests in the same batch, two
    /// suspects on one upstream, and a refusal that routers extend by exchanging it.
    #[test]
    fn poison_request_is_refused_and_others_are_not(sequential 1..200 => CrashFleet);
}
