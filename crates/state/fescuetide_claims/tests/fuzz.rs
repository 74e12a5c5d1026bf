//! Stateful fuzz test of the ledger against an oracle that keeps the complete log.
//!
//! `fescuetide_fuzz` describes how to run more cases and how to reproduce a run.

use std::collections::HashSet;
use std::sync::LazyLock;

use fescuetide_base::prelude::*;
use fescuetide_claims::FoldError;
use fescuetide_claims::prelude::*;
use fescuetide_fuzz::fuzz_config;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

const CASE_COUNT: u32 = 256;
const SEED: u64 = 0x5eed_c1a1;
const KEY_COUNT: u64 = 4;
const KEY_STEP_MS: u64 = 400;
const WINDOW: ClaimWindow = ClaimWindow {
    age: SpanMillis::new(1_000),
    skew: SpanMillis::new(100),
};

static CONFIG: LazyLock<Config> = LazyLock::new(|| fuzz_config(CASE_COUNT, SEED));

fn key_of(number: u64) -> ClaimKey {
    let created = 1_000 + number * KEY_STEP_MS;
    ClaimKey {
        workspace: "w".parse().expect("name"),
        key: IdempotencyKey::from_u128(u128::from(created) << 80 | u128::from(number)),
    }
}

fn claim_of(id: u8, key: u64, supersedes: Option<u8>) -> ClaimEntry {
    let holder = ProcessInstance {
        vm: "vm".parse().expect("name"),
        incarnation: ProcessIncarnation::new(u64::from(id)),
    };
    ClaimEntry {
        id: ClaimId::from_u128(u128::from(id)),
        key: key_of(key),
        target: holder.clone(),
        router: holder,
        request_hash: 0,
        supersedes: supersedes.map(|id| ClaimId::from_u128(u128::from(id))),
    }
}

/// Complete log with append times. `first` is the oldest record that is still available to readers.
#[derive(Clone, Debug, Default)]
struct LogOracle {
    records: Vec<(u64, Vec<ClaimEntry>)>,
    first: usize,
    now: u64,
}

impl LogOracle {
    /// Returns the current claim of a key by folding all records ever written.
    fn current(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        let mut current: Option<&ClaimEntry> = None;
        let mut seen = HashSet::new();
        for (_, claims) in &self.records {
            for claim in claims.iter().filter(|claim| claim.key == *key) {
                let is_new = seen.insert(claim.id);
                if is_new && claim.supersedes == current.map(|other| other.id) {
                    current = Some(claim);
                }
            }
        }
        current
    }
}

#[derive(Clone, Debug)]
enum Step {
    Append(Vec<ClaimEntry>),
    Pass(u64),
    Retain(usize),
    Reload,
    OfferGap,
    OfferOld,
}

impl ReferenceStateMachine for LogOracle {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(LogOracle {
            now: 1_000,
            ..LogOracle::default()
        })
        .boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Step> {
        let created = (state.now - 1_000 + WINDOW.skew.as_millis()) / KEY_STEP_MS;
        let claim = (
            0..12_u8,
            0..KEY_COUNT.min(created + 1),
            prop::option::of(0..12_u8),
        )
            .prop_map(|(id, key, supersedes)| claim_of(id, key, supersedes));
        prop_oneof![
            8 => prop::collection::vec(claim, 0..4).prop_map(Step::Append),
            2 => (1..500_u64).prop_map(Step::Pass),
            1 => (0..3_usize).prop_map(Step::Retain),
            1 => Just(Step::Reload),
            1 => Just(Step::OfferGap),
            1 => Just(Step::OfferOld),
        ]
        .boxed()
    }

    /// Registrars never append claims on keys that are ahead of their clock by more than the skew.
    fn preconditions(state: &Self, step: &Step) -> bool {
        let Step::Append(claims) = step else {
            return true;
        };
        let limit = ClockMillis::new(state.now) + WINDOW.skew;
        claims.iter().all(|claim| claim.key.created_at() <= limit)
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Append(claims) => state.records.push((state.now, claims.clone())),
            Step::Pass(span) => state.now += span,
            Step::Retain(count) => {
                state.first = state.first.max(state.records.len().saturating_sub(*count));
            }
            Step::Reload | Step::OfferGap | Step::OfferOld => {}
        }
        state
    }
}

struct LedgerTest {
    ledger: ClaimLedger,
    /// Time up to which this reader lacks records.
    lost_until: Option<u64>,
}

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Self;
    type Reference = LogOracle;

    fn init_test(_: &LogOracle) -> Self {
        Self {
            ledger: ClaimLedger::new(WINDOW),
            lost_until: None,
        }
    }

    fn apply(mut test: Self, log: &LogOracle, step: Step) -> Self {
        let next = test.ledger.next_offset();
        match step {
            Step::Append(claims) => {
                test.ledger.fold(next, &claims).expect("next offset");
            }
            Step::Pass(_) => test.ledger.expire(ClockMillis::new(log.now)),
            Step::Retain(_) => {}
            Step::Reload => test = reload(log),
            Step::OfferGap => {
                let found = LogOffset::new(next.get() + 1);
                let error = test.ledger.fold(found, &[]).expect_err("gap");
                assert_eq!(
                    error,
                    FoldError::OffsetGap {
                        expected: next,
                        found
                    }
                );
            }
            Step::OfferOld if next.get() > 0 => {
                let old = LogOffset::new(next.get() - 1);
                let error = test.ledger.fold(old, &[]).expect_err("old offset");
                assert_eq!(error, FoldError::AlreadyFolded(old));
            }
            Step::OfferOld => {}
        }
        test
    }

    fn check_invariants(test: &Self, log: &LogOracle) {
        for number in 0..KEY_COUNT {
            let key = key_of(number);
            let created = key.created_at().as_millis();
            let status = test.ledger.look_up(&key, ClockMillis::new(log.now));
            let too_old = log.now > created + WINDOW.age.as_millis();
            let too_new = created > log.now + WINDOW.skew.as_millis();
            match status {
                ClaimStatus::Unknown => {
                    let lost = test
                        .lost_until
                        .is_some_and(|until| created <= until + WINDOW.skew.as_millis());
                    assert!(too_old || too_new || lost, "key {number} must be known");
                }
                ClaimStatus::Held(claim) => {
                    assert!(
                        !too_old && !too_new,
                        "key {number} is outside of the window"
                    );
                    assert_eq!(Some(claim), log.current(&key), "key {number}");
                }
                ClaimStatus::Free => {
                    assert!(
                        !too_old && !too_new,
                        "key {number} is outside of the window"
                    );
                    let claimed = log.current(&key).is_some();
                    assert!(!claimed, "key {number} was claimed");
                }
            }
        }
    }
}

/// Creates a new reader that receives only the retained records.
fn reload(log: &LogOracle) -> LedgerTest {
    let mut ledger = ClaimLedger::new(WINDOW);
    let mut lost_until = None;
    if log.first > 0 {
        let until = log.records.get(log.first).map_or(log.now, |(at, _)| *at);
        ledger.restart(LogOffset::new(log.first as u64), ClockMillis::new(until));
        lost_until = Some(until);
    }
    for (offset, (_, claims)) in log.records.iter().enumerate().skip(log.first) {
        ledger
            .fold(LogOffset::new(offset as u64), claims)
            .expect("next offset");
    }
    LedgerTest { ledger, lost_until }
}

prop_state_machine! {
    #![proptest_config(CONFIG.clone())]

    /// Guards against readers of the same log disagreeing on the current claim of a key, which would let a request run
    /// twice.
    #[test]
    fn ledger_agrees_with_the_whole_log(sequential 1..60 => LedgerTest);
}
