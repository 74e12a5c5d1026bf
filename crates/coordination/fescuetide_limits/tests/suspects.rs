//! Property test of the suspect tables of two routers and the admission control of several upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_limits::CrashCount;
use fescuetide_limits::CrashEvidence;
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
    known: CrashCount,
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
        let known = self.tables[router].crashes(fingerprint, self.now);
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
                known,
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
                let fingerprint = fingerprint_of(run.request);
                self.tables[run.router].note_crash(fingerprint, run.known, self.now);
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
            for evidence in self.tables[from].list_evidence(self.now) {
                let fingerprint = evidence.fingerprint;
                let is_refused = self.tables[from].refusal(fingerprint, self.now).is_some();
                for table in &mut self.tables {
                    table.merge(evidence, self.now);
                    assert!(!is_refused || table.refusal(fingerprint, self.now).is_some());
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

fn new_tables(count: usize) -> Vec<SuspectTable> {
    (0..count).map(|_| SuspectTable::default()).collect()
}

fn exchange_all(tables: &mut [SuspectTable], now: ClockMillis) {
    for from in 0..tables.len() {
        for evidence in tables[from].list_evidence(now) {
            for table in &mut *tables {
                table.merge(evidence, now);
            }
        }
    }
}

/// Guards against crashes that do not add up because a different router saw each of them.
#[test]
fn crashes_seen_by_different_routers_add_up() {
    let now = ClockMillis::new(1_000);
    let mut tables = new_tables(5);
    let fingerprint = fingerprint_of(POISON_REQUEST);
    for router in 0..2 {
        assert_eq!(tables[router].refusal(fingerprint, now), None);
        let known = tables[router].crashes(fingerprint, now);
        tables[router].note_crash(fingerprint, known, now);
        exchange_all(&mut tables, now);
    }
    for table in &tables {
        assert!(table.refusal(fingerprint, now).is_some());
    }
}

/// Guards against counting one event several times because several routers had the request running on upstreams that went
/// down together, in whatever order they learn of it.
#[test]
fn one_event_seen_by_many_routers_counts_once() {
    let now = ClockMillis::new(1_000);
    let mut tables = new_tables(5);
    let fingerprint = fingerprint_of(1);
    let known: Vec<CrashCount> = tables
        .iter()
        .map(|table| table.crashes(fingerprint, now))
        .collect();
    for router in 0..tables.len() {
        tables[router].note_crash(fingerprint, known[router], now);
        exchange_all(&mut tables, now);
    }
    for table in &tables {
        assert_eq!(table.crashes(fingerprint, now), CrashCount::new(1));
        assert_eq!(table.refusal(fingerprint, now), None);
    }
}

/// Guards against control traffic that lists all requests that were running at old crashes.
#[test]
fn only_new_and_repeated_crashes_are_exchanged() {
    let now = ClockMillis::new(1_000);
    let later = now + SpanMillis::new(60_000);
    let mut table = SuspectTable::default();
    for request in 0..200 {
        table.note_crash(fingerprint_of(request), CrashCount::default(), now);
    }
    let limit = SuspectSettings::default().exchange_limit;
    assert_eq!(table.list_evidence(now).len(), limit);
    table.note_crash(fingerprint_of(7), CrashCount::new(1), now);
    let listed = table.list_evidence(later);
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].fingerprint, fingerprint_of(7));
}

/// Guards against a request that stays suspect at the other routers after it has completed at one.
#[test]
fn completion_is_shared() {
    let now = ClockMillis::new(1_000);
    let mut tables = new_tables(2);
    let fingerprint = fingerprint_of(1);
    tables[0].note_crash(fingerprint, CrashCount::default(), now);
    exchange_all(&mut tables, now);
    assert_eq!(tables[1].note_completed(fingerprint), 1);
    let evidence = tables[1].evidence(fingerprint, now).expect("evidence");
    assert!(tables[0].merge(evidence, now));
    assert!(!tables[0].is_suspect(fingerprint, now));
    let known = tables[0].crashes(fingerprint, now);
    tables[0].note_crash(fingerprint, known, now);
    assert_eq!(tables[0].refusal(fingerprint, now), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(57),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against results that depend on the order in which evidence arrives, or on evidence that arrives twice.
    #[test]
    fn order_and_repetition_of_evidence_do_not_matter(
        counts in proptest::collection::vec((0_u32..5, 0_u32..5), 1..8),
        repeats in proptest::collection::vec(0_usize..8, 0..8),
    ) {
        let now = ClockMillis::new(1_000);
        let fingerprint = fingerprint_of(1);
        let evidence = |(crashes, cleared): (u32, u32)| CrashEvidence {
            fingerprint,
            crashes: CrashCount::new(crashes),
            cleared: CrashCount::new(cleared),
            ends: EndSet::default(),
            left: SpanMillis::new(60_000),
        };
        let mut one = SuspectTable::default();
        for count in &counts {
            one.merge(evidence(*count), now);
        }
        let mut other = SuspectTable::default();
        for index in repeats {
            other.merge(evidence(counts[index % counts.len()]), now);
        }
        for count in counts.iter().rev() {
            other.merge(evidence(*count), now);
        }
        prop_assert_eq!(one.crashes(fingerprint, now), other.crashes(fingerprint, now));
        prop_assert_eq!(one.refusal(fingerprint, now), other.refusal(fingerprint, now));
    }
}
