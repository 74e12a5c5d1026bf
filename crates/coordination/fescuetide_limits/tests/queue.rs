//! Property test of the admission queue against a reference model that is a plain list of work.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use fescuetide_base::WorkspaceName;
use fescuetide_limits::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const SLOTS: usize = 4;

#[derive(Clone, Debug)]
enum QueueStep {
    Push {
        workspace: usize,
        slack: u64,
        patience: u64,
        tolerant: bool,
    },
    Finish(usize),
    Disconnect(usize),
    Wait(u64),
}

/// Generates steps only. The expected state lives in [`QueueUnderTest`], because several decisions of the queue are
/// valid and the model must follow the one that it took.
struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = QueueStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<QueueStep> {
        // The first workspace generates half of the work, as in a surge.
        let workspace = prop_oneof![Just(0_usize), 1_usize..5];
        prop_oneof![
            6 => (workspace, 0_u64..3_000, 1_u64..6_000, any::<bool>()).prop_map(
                |(workspace, slack, patience, tolerant)| QueueStep::Push {
                    workspace,
                    slack,
                    patience,
                    tolerant,
                },
            ),
            4 => any::<usize>().prop_map(QueueStep::Finish),
            1 => any::<usize>().prop_map(QueueStep::Disconnect),
            3 => (0_u64..300).prop_map(QueueStep::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &QueueStep) {}
}

#[derive(Clone, Debug)]
struct OracleWork {
    work: QueuedWork,
    started: Option<ClockMillis>,
}

struct QueueUnderTest {
    queue: AdmissionQueue,
    now: ClockMillis,
    works: Vec<OracleWork>,
    service_times: Vec<u64>,
}

impl QueueUnderTest {
    fn running_of(&self, workspace: &WorkspaceName) -> usize {
        let running = self.works.iter().filter(|entry| entry.started.is_some());
        running
            .filter(|entry| entry.work.workspace == *workspace)
            .count()
    }

    fn waiting(&self) -> impl Iterator<Item = &OracleWork> {
        self.works.iter().filter(|entry| entry.started.is_none())
    }

    /// Returns whether `sooner` must start before `later`.
    fn must_start_before(&self, sooner: &QueuedWork, later: &QueuedWork) -> bool {
        let mut present: Vec<&WorkspaceName> = self
            .works
            .iter()
            .map(|entry| &entry.work.workspace)
            .collect();
        present.sort_unstable();
        present.dedup();
        let share = (SLOTS / present.len()).max(1);
        let sooner_full = self.running_of(&sooner.workspace) >= share;
        let later_full = self.running_of(&later.workspace) >= share;
        (sooner_full, sooner.late_at) < (later_full, later.late_at)
    }

    fn take_events(&mut self, events: &[QueueEvent]) {
        for event in events {
            let (QueueEvent::Started(id) | QueueEvent::Shed(id, _) | QueueEvent::Expired(id)) =
                event;
            let index = self
                .works
                .iter()
                .position(|entry| entry.work.attempt == *id);
            let index = index.expect("event of unknown work");
            let work = self.works[index].work.clone();
            assert!(
                self.works[index].started.is_none(),
                "{event:?} of running work"
            );
            match event {
                QueueEvent::Started(_) => {
                    assert!(work.deadline > self.now, "started after its deadline");
                    for other in self.waiting() {
                        assert!(
                            !self.must_start_before(&other.work, &work),
                            "{work:?} before {other:?}"
                        );
                    }
                    self.works[index].started = Some(self.now);
                }
                QueueEvent::Shed(_, late) => {
                    assert!(late.retry_after.as_millis() > 0);
                    assert!(!work.loss_share.is_zero(), "intolerant work was shed");
                    self.works.remove(index);
                }
                QueueEvent::Expired(_) => {
                    assert!(work.deadline <= self.now, "expired early");
                    self.works.remove(index);
                }
            }
        }
    }

    fn push(&mut self, work: QueuedWork) {
        let running = self
            .works
            .iter()
            .filter(|entry| entry.started.is_some())
            .count();
        let waiting = self.waiting().count();
        let recent = &self.service_times[self.service_times.len().saturating_sub(32)..];
        let service = recent.iter().sum::<u64>() as f64 / recent.len().max(1) as f64;
        let slack = work.late_at.since(self.now).as_millis() as f64;
        let own_ahead = self
            .waiting()
            .filter(|entry| {
                entry.work.workspace == work.workspace && entry.work.late_at < work.late_at
            })
            .count();
        let loss_share = work.loss_share;
        self.works.push(OracleWork {
            work: work.clone(),
            started: None,
        });
        match self.queue.push(work, self.now) {
            Ok(events) => {
                let has_shed = events
                    .iter()
                    .any(|event| matches!(event, QueueEvent::Shed(..)));
                assert!(
                    !has_shed || loss_share.is_zero(),
                    "tolerant work made others shed"
                );
                if running == SLOTS && !has_shed && !recent.is_empty() {
                    let least = (own_ahead + 1) as f64 * service / SLOTS as f64;
                    assert!(
                        least <= slack,
                        "accepted, but waits at least {least} of {slack} ms"
                    );
                }
                self.take_events(&events);
            }
            Err(late) => {
                self.works.pop();
                assert_eq!(running, SLOTS, "refused while a slot is free");
                let most = (waiting + 1) as f64 * service / SLOTS as f64;
                // The first part of each response arrives halfway through its service time.
                assert!(
                    most + service / 2.0 + 1.0 > slack,
                    "refused, but waits at most {most}"
                );
                let wait = late.retry_after.as_millis();
                assert!(
                    wait > 0 && wait as f64 <= most + 1.0,
                    "untruthful Retry-After {wait}"
                );
            }
        }
    }

    fn pick(&self, seed: usize, is_running: bool) -> Option<AttemptId> {
        let fitting = self
            .works
            .iter()
            .filter(|entry| entry.started.is_some() == is_running);
        let fitting: Vec<AttemptId> = fitting.map(|entry| entry.work.attempt).collect();
        (!fitting.is_empty()).then(|| fitting[seed % fitting.len()])
    }

    fn finish(&mut self, seed: usize) {
        let Some(id) = self.pick(seed, true) else {
            return;
        };
        let index = self
            .works
            .iter()
            .position(|entry| entry.work.attempt == id)
            .expect("picked");
        let started = self.works.remove(index).started.unwrap_or_default();
        let service = self.now.since(started).as_millis();
        self.service_times.push(service);
        let events = self
            .queue
            .finish(id, Some(SpanMillis::new(service / 2)), self.now);
        self.take_events(&events);
    }
}

fn new_work(workspace: usize, now: u64, slack: u64, patience: u64, loss: f64) -> QueuedWork {
    QueuedWork {
        attempt: AttemptId::generate(),
        workspace: format!("workspace-{workspace}").parse().expect("name"),
        late_at: ClockMillis::new(now + slack),
        deadline: ClockMillis::new(now + patience),
        loss_share: TargetShare::new(loss).expect("share"),
    }
}

impl StateMachineTest for QueueUnderTest {
    type SystemUnderTest = Self;
    type Reference = StepSource;

    fn init_test((): &()) -> Self {
        Self {
            queue: AdmissionQueue::new(SLOTS),
            now: ClockMillis::new(1_000),
            works: Vec::new(),
            service_times: Vec::new(),
        }
    }

    fn apply(mut test: Self, (): &(), step: QueueStep) -> Self {
        match step {
            QueueStep::Push {
                workspace,
                slack,
                patience,
                tolerant,
            } => {
                let loss = if tolerant { 0.01 } else { 0.0 };
                let now = test.now.as_millis();
                test.push(new_work(workspace, now, slack, patience, loss));
            }
            QueueStep::Finish(seed) => test.finish(seed),
            QueueStep::Disconnect(seed) => {
                if let Some(id) = test.pick(seed, false) {
                    assert!(test.queue.remove_waiting(id));
                    test.works.retain(|entry| entry.work.attempt != id);
                }
            }
            QueueStep::Wait(span) => {
                test.now = test.now + SpanMillis::new(span);
                // Skip `expire` in half of the steps, so that deadlines also pass between two calls.
                if span % 2 == 0 {
                    let events = test.queue.expire(test.now);
                    test.take_events(&events);
                    assert!(test.waiting().all(|entry| entry.work.deadline > test.now));
                }
            }
        }
        test
    }

    fn check_invariants(test: &Self, (): &()) {
        let running = test
            .works
            .iter()
            .filter(|entry| entry.started.is_some())
            .count();
        let waiting = test.waiting().count();
        assert_eq!(test.queue.running_count(), running);
        assert_eq!(test.queue.waiting_count(), waiting);
        assert!(running <= SLOTS);
        assert!(
            waiting == 0 || running == SLOTS,
            "work waits beside a free slot"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against exceeding the number of slots, a wrong scheduling order, unjustified refusals, and work that
    /// starts after its deadline.
    #[test]
    fn queue_matches_the_reference_model(sequential 1..120 => QueueUnderTest);
}

/// Guards against starvation by a surging workspace: its urgent work must not delay the only request of another
/// workspace by more than one slot.
#[test]
fn surging_workspace_does_not_starve_others() {
    let mut queue = AdmissionQueue::new(2);
    let now = ClockMillis::new(0);
    let mut running = Vec::new();
    for _ in 0..100 {
        let surge = new_work(0, 0, 100, 60_000, 0.0);
        running.push(surge.attempt);
        queue.push(surge, now).expect("no service time is known");
    }
    let other = new_work(1, 0, 50_000, 60_000, 0.0);
    queue
        .push(other.clone(), now)
        .expect("no service time is known");
    let events = queue.finish(running[0], None, now);
    assert_eq!(events, vec![QueueEvent::Started(other.attempt)]);
}

/// Guards against rejecting work that must not be lost while work that tolerates loss is queued ahead of it.
#[test]
fn tolerant_work_is_shed_first() {
    let mut queue = AdmissionQueue::new(1);
    let now = ClockMillis::new(1_000);
    let first = new_work(0, 0, 1_000, 60_000, 0.0);
    queue
        .push(first.clone(), ClockMillis::new(0))
        .expect("slot is free");
    queue.finish(first.attempt, Some(SpanMillis::new(100)), now);
    queue
        .push(new_work(0, 1_000, 1_000, 60_000, 0.0), now)
        .expect("slot is free");
    let tolerant = new_work(0, 1_000, 1_500, 60_000, 0.1);
    queue.push(tolerant.clone(), now).expect("waits 1 s");
    let urgent = new_work(0, 1_000, 1_600, 60_000, 0.0);
    let events = queue.push(urgent, now).expect("tolerant work makes room");
    let [QueueEvent::Shed(shed, late)] = events[..] else {
        panic!("expected one shed request, got {events:?}");
    };
    assert_eq!(shed, tolerant.attempt);
    assert!(late.retry_after >= SpanMillis::new(500), "{late:?}");
    let refused = queue.push(new_work(0, 1_000, 1_700, 60_000, 0.0), now);
    assert_eq!(
        refused,
        Err(TooLate {
            retry_after: SpanMillis::new(400)
        })
    );
}
