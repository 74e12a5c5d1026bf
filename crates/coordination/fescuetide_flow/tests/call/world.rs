//! A model of everything that a key passes: callers, the claim log, registrars and side processes.

use fescuetide_base::prelude::*;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimKey;
use fescuetide_claims::ClaimLedger;
use fescuetide_claims::ClaimWindow;
use fescuetide_claims::KeyStatus;
use fescuetide_claims::ProcessInstance;
use fescuetide_flow::AskOrder;
use fescuetide_flow::AttemptNews;
use fescuetide_flow::CallFlow;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::ClaimAnswer;
use fescuetide_flow::ClaimOrder;
use fescuetide_flow::DeclineNote;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::KeyFate;

use crate::harness::CONTENT;
use crate::harness::FleetModel;
use crate::harness::key_at;
use crate::harness::keyed;
use crate::harness::vm_name;

/// Upstreams with side processes.
pub(crate) const SIDES: usize = 2;

/// Callers that send the same key at once.
const CALLER_LIMIT: usize = 4;

/// Steps without a fault in which a request must end.
const CALM_STEPS: usize = 200;

/// What goes wrong in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepFault {
    /// Nothing.
    None,
    /// The call fails and has no effect.
    Fails,
    /// The effect comes later, and its answer never.
    Late,
    /// The answer rests on an old state of the log, the more so the smaller the number.
    Stale(usize),
}

/// What a side process knows of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideKey {
    Sealed,
    Queued(AttemptId),
    Running(AttemptId),
    Done(AttemptId),
    NeverRan(AttemptId),
}

#[derive(Clone, Debug, Default)]
struct SideModel {
    incarnation: u64,
    key: Option<SideKey>,
    sealed_attempts: Vec<AttemptId>,
}

/// An offer under way or at a side process.
#[derive(Clone, Copy, Debug)]
struct OfferState {
    side: usize,
    incarnation: u64,
    attempt: AttemptId,
    is_delivered: bool,
}

struct CallerModel {
    flow: CallFlow,
    /// The connection that was opened for a claim.
    opened: Option<(usize, u64)>,
    offer: Option<OfferState>,
}

/// The world of one key.
pub(crate) struct KeyWorld {
    fleet: FleetModel,
    now: ClockMillis,
    key: ClaimKey,
    ledger: ClaimLedger,
    /// All claims in the order of the log.
    log: Vec<ClaimEntry>,
    /// Claims that are appended although nobody waits for them.
    late: Vec<ClaimEntry>,
    sides: Vec<SideModel>,
    callers: Vec<CallerModel>,
    /// Offers that arrive although their caller's router is gone.
    strays: Vec<OfferState>,
    runs: u32,
}

impl KeyWorld {
    pub(crate) fn new() -> Self {
        let now = ClockMillis::new(1_000_000);
        Self {
            fleet: FleetModel::new(SIDES),
            now,
            key: key_at(now),
            ledger: ClaimLedger::new(ClaimWindow::default()),
            log: Vec::new(),
            late: Vec::new(),
            sides: vec![SideModel::default(); SIDES],
            callers: Vec::new(),
            strays: Vec::new(),
            runs: 0,
        }
    }

    /// A caller sends the key, or sends it again.
    pub(crate) fn arrive(&mut self) {
        if self.callers.len() >= CALLER_LIMIT {
            return;
        }
        let facts = keyed(&self.key, self.now);
        let now = self.now;
        let flow = self
            .fleet
            .decide(|tables, view| CallFlow::new(facts, tables, view, now));
        self.callers.push(CallerModel {
            flow,
            opened: None,
            offer: None,
        });
    }

    pub(crate) fn pass(&mut self, millis: u64) {
        self.now = self.now + SpanMillis::new(millis);
    }

    /// Appends that nobody waits for take effect.
    pub(crate) fn land_late_claims(&mut self) {
        for claim in std::mem::take(&mut self.late) {
            self.append(claim);
        }
    }

    /// A side process starts its attempt, or completes it.
    pub(crate) fn run_side(&mut self, side: usize) {
        let side = &mut self.sides[side];
        match side.key {
            Some(SideKey::Queued(attempt)) => {
                side.key = Some(SideKey::Running(attempt));
                self.runs += 1;
            }
            Some(SideKey::Running(attempt)) => side.key = Some(SideKey::Done(attempt)),
            _ => {}
        }
    }

    /// A side process gives an attempt up that it has not started.
    pub(crate) fn shed(&mut self, side: usize) {
        let side = &mut self.sides[side];
        if let Some(SideKey::Queued(attempt)) = side.key {
            side.key = Some(SideKey::NeverRan(attempt));
        }
    }

    pub(crate) fn restart_side(&mut self, side: usize) {
        let side = &mut self.sides[side];
        side.incarnation += 1;
        side.key = None;
        side.sealed_attempts.clear();
    }

    /// A router is killed, and its offers may still arrive.
    pub(crate) fn kill_router(&mut self, caller: usize) {
        if self.callers.is_empty() {
            return;
        }
        let caller = self.callers.swap_remove(caller % self.callers.len());
        let undelivered = caller.offer.filter(|offer| !offer.is_delivered);
        self.strays.extend(undelivered);
    }

    /// Offers of routers that are gone arrive.
    pub(crate) fn land_strays(&mut self) {
        for offer in std::mem::take(&mut self.strays) {
            if self.sides[offer.side].incarnation == offer.incarnation {
                self.deliver(offer);
            }
        }
    }

    /// Offers that are under way arrive.
    pub(crate) fn land_offers(&mut self) {
        for index in 0..self.callers.len() {
            let Some(offer) = self.callers[index].offer else {
                continue;
            };
            let is_here = self.sides[offer.side].incarnation == offer.incarnation;
            if offer.is_delivered || !is_here {
                continue;
            }
            let declined = self.deliver(offer);
            self.callers[index].offer = Some(OfferState {
                is_delivered: true,
                ..offer
            });
            if let Some(reason) = declined {
                self.tell(index, decline(reason));
            }
        }
        self.take_ends();
    }

    /// A router does the next thing for its request.
    pub(crate) fn step(&mut self, caller: usize, fault: StepFault) {
        if self.callers.is_empty() {
            return;
        }
        let index = caller % self.callers.len();
        let now = self.now;
        let flow = &mut self.callers[index].flow;
        let step = self
            .fleet
            .decide(|tables, view| flow.step(tables, view, now));
        match step {
            CallStep::Wait(until) => self.now = self.now.max(until),
            CallStep::Connect(vm) => self.connect(index, side_of(&vm.name), fault),
            CallStep::Claim(order) => self.claim(index, &order, fault),
            CallStep::Ask(order) => self.ask(index, &order, fault),
            CallStep::Offer(_) => self.offer(index, fault),
            CallStep::Listen => self.listen(index, fault),
            CallStep::Cancel => panic!("an attempt that may run once is not cancelled"),
            CallStep::End(_) => {}
        }
        self.take_ends();
    }

    /// Takes the requests out that have ended. Each verdict must be true when it is decided.
    fn take_ends(&mut self) {
        let mut index = 0;
        while let Some(caller) = self.callers.get(index) {
            match caller.flow.end_decided().map(|end| end.verdict) {
                Some(verdict) => self.check_end(index, verdict),
                None => index += 1,
            }
        }
    }

    /// Lets all requests end without further faults.
    pub(crate) fn settle(&mut self) {
        self.land_late_claims();
        for _ in 0..CALM_STEPS {
            for side in 0..SIDES {
                self.run_side(side);
            }
            self.land_offers();
            for caller in 0..self.callers.len() {
                self.step(caller, StepFault::None);
            }
            if self.callers.is_empty() {
                return;
            }
        }
        panic!("a request has not ended in {CALM_STEPS} steps without a fault");
    }

    /// The promise on the key.
    pub(crate) fn check(&self) {
        assert!(self.runs <= 1, "the key ran {} times", self.runs);
    }

    fn check_end(&mut self, index: usize, verdict: CallVerdict) {
        let caller = self.callers.swap_remove(index);
        match verdict {
            CallVerdict::NotRun(evidence) => {
                assert_eq!(self.runs, 0, "told not run ({evidence}), but ran");
                let is_open = caller.offer.is_some_and(|offer| {
                    self.sides[offer.side].key == Some(SideKey::Queued(offer.attempt))
                });
                assert!(!is_open, "told not run, but may still run");
            }
            CallVerdict::Completed => assert_eq!(self.runs, 1, "told completed, but never ran"),
            CallVerdict::Failed | CallVerdict::Unknown => {}
        }
    }

    fn connect(&mut self, index: usize, side: usize, fault: StepFault) {
        let caller = &mut self.callers[index];
        if fault == StepFault::Fails {
            caller
                .flow
                .note_not_connected(&mut self.fleet.tables, self.now);
            return;
        }
        let incarnation = self.sides[side].incarnation;
        caller.opened = Some((side, incarnation));
        caller
            .flow
            .note_connected(ProcessIncarnation::new(incarnation));
    }

    fn claim(&mut self, index: usize, order: &ClaimOrder, fault: StepFault) {
        let router = ProcessInstance {
            vm: "router".parse().unwrap(),
            incarnation: ProcessIncarnation::new(1),
        };
        let supersedes = match order.target {
            Some(_) => order.replaces,
            None => Some(ClaimId::generate()),
        };
        let claim = ClaimEntry {
            id: ClaimId::generate(),
            key: self.key.clone(),
            target: order.target.clone().unwrap_or_else(|| router.clone()),
            router,
            content: CONTENT,
            supersedes,
        };
        let answer = match fault {
            StepFault::None => self.register(&claim),
            StepFault::Fails => self.answer_without_log(),
            StepFault::Late => {
                let answer = self.answer_without_log();
                self.late.push(claim.clone());
                answer
            }
            StepFault::Stale(length) => self.answer_from(length),
        };
        let caller = &mut self.callers[index];
        caller
            .flow
            .note_claim(claim, answer, &mut self.fleet.tables, self.now);
    }

    /// A registrar that reads the log to its end, appends, and reads the claim back.
    fn register(&mut self, claim: &ClaimEntry) -> ClaimAnswer {
        for _ in 0..2 {
            match self.ledger.look_up(&self.key, self.now) {
                KeyStatus::Unknown => return ClaimAnswer::Unknown,
                KeyStatus::Held(found) if found.id == claim.id => return ClaimAnswer::Claimed,
                KeyStatus::Held(found) if claim.supersedes == Some(found.id) => {}
                KeyStatus::Held(found) => {
                    return ClaimAnswer::Held {
                        claim: Box::new(found.clone()),
                        caught_up: true,
                    };
                }
                KeyStatus::Free if claim.supersedes.is_some() => return ClaimAnswer::Free,
                KeyStatus::Free => {}
            }
            self.append(claim.clone());
        }
        unreachable!("a claim is decided when it was appended");
    }

    /// A registrar that knows all claims, but cannot append one.
    fn answer_without_log(&self) -> ClaimAnswer {
        match self.ledger.look_up(&self.key, self.now) {
            KeyStatus::Held(found) => ClaimAnswer::Held {
                claim: Box::new(found.clone()),
                caught_up: false,
            },
            KeyStatus::Free => ClaimAnswer::Unavailable {
                retry_after: SpanMillis::new(1_000),
                is_free: self.late.is_empty(),
            },
            KeyStatus::Unknown => ClaimAnswer::Unknown,
        }
    }

    /// A registrar that has read only the first records of the log.
    fn answer_from(&self, length: usize) -> ClaimAnswer {
        let mut ledger = ClaimLedger::new(ClaimWindow::default());
        for claim in self.log.iter().take(length) {
            let offset = ledger.next_offset();
            let folded = ledger.fold(offset, std::slice::from_ref(claim));
            assert!(folded.is_ok(), "claims are folded in order");
        }
        match ledger.look_up(&self.key, self.now) {
            KeyStatus::Held(found) => ClaimAnswer::Held {
                claim: Box::new(found.clone()),
                caught_up: false,
            },
            KeyStatus::Free | KeyStatus::Unknown => ClaimAnswer::Unavailable {
                retry_after: SpanMillis::new(1_000),
                is_free: false,
            },
        }
    }

    fn append(&mut self, claim: ClaimEntry) {
        let offset = self.ledger.next_offset();
        let folded = self.ledger.fold(offset, std::slice::from_ref(&claim));
        assert!(folded.is_ok(), "claims are folded in order");
        self.log.push(claim);
    }

    fn ask(&mut self, index: usize, order: &AskOrder, fault: StepFault) {
        let side = &mut self.sides[side_of(&order.vm.name)];
        let caller = &mut self.callers[index];
        caller.opened = None;
        let tables = &mut self.fleet.tables;
        if matches!(fault, StepFault::Fails | StepFault::Late) {
            if fault == StepFault::Late && side.key.is_none() {
                side.key = Some(SideKey::Sealed);
            }
            caller.flow.note_not_asked("no answer", tables, self.now);
            return;
        }
        if side.incarnation != order.claim.target.incarnation.get() {
            let fate = KeyFate::Unknown("restarted".to_owned());
            caller.flow.note_fate(fate, tables, self.now);
            return;
        }
        let fate = match side.key {
            None | Some(SideKey::Sealed) => {
                side.key = Some(SideKey::Sealed);
                KeyFate::NeverSeen
            }
            Some(
                SideKey::Queued(attempt)
                | SideKey::Running(attempt)
                | SideKey::Done(attempt)
                | SideKey::NeverRan(attempt),
            ) => {
                caller.offer = Some(OfferState {
                    side: side_of(&order.vm.name),
                    incarnation: side.incarnation,
                    attempt,
                    is_delivered: true,
                });
                KeyFate::Joined(attempt)
            }
        };
        caller.flow.note_fate(fate, tables, self.now);
    }

    fn offer(&mut self, index: usize, fault: StepFault) {
        let attempt = AttemptId::generate();
        let caller = &mut self.callers[index];
        caller.flow.note_sent(attempt, &mut self.fleet.tables);
        let Some((side, incarnation)) = caller.opened.take() else {
            panic!("an offer under a claim goes over the connection that was opened for it");
        };
        let offer = OfferState {
            side,
            incarnation,
            attempt,
            is_delivered: false,
        };
        caller.offer = Some(offer);
        if self.sides[side].incarnation != incarnation {
            self.tell(index, AttemptNews::Lost("restarted".to_owned()));
            return;
        }
        if fault == StepFault::Fails {
            self.callers[index].offer = None;
            self.tell(index, decline(DeclineReason::OverBound));
            return;
        }
        if fault != StepFault::None {
            return;
        }
        self.callers[index].offer = Some(OfferState {
            is_delivered: true,
            ..offer
        });
        if let Some(reason) = self.deliver(offer) {
            self.tell(index, decline(reason));
        }
    }

    fn deliver(&mut self, offer: OfferState) -> Option<DeclineReason> {
        let side = &mut self.sides[offer.side];
        if side.sealed_attempts.contains(&offer.attempt) {
            return Some(DeclineReason::Sealed);
        }
        match side.key {
            None => {
                side.key = Some(SideKey::Queued(offer.attempt));
                None
            }
            Some(SideKey::Sealed) => Some(DeclineReason::Sealed),
            Some(_) => Some(DeclineReason::KeySeen),
        }
    }

    fn listen(&mut self, index: usize, fault: StepFault) {
        let Some(offer) = self.callers[index].offer else {
            return;
        };
        let side = &mut self.sides[offer.side];
        if side.incarnation != offer.incarnation {
            self.tell(index, AttemptNews::Lost("restarted".to_owned()));
            return;
        }
        if !offer.is_delivered {
            if fault != StepFault::None {
                // The connection is lost, and the attempt is asked for over a new one, which seals it.
                side.sealed_attempts.push(offer.attempt);
                self.strays.push(offer);
                self.callers[index].offer = None;
                self.tell(index, decline(DeclineReason::Sealed));
            }
            return;
        }
        match side.key {
            Some(SideKey::Done(done)) if done == offer.attempt => {
                self.tell(index, AttemptNews::Completed);
            }
            Some(SideKey::NeverRan(shed)) if shed == offer.attempt => {
                self.tell(index, AttemptNews::Shed(SpanMillis::new(500)));
            }
            _ => self.tell(index, AttemptNews::Alive),
        }
    }

    fn tell(&mut self, index: usize, news: AttemptNews) {
        let caller = &mut self.callers[index];
        caller
            .flow
            .note_news(news, &mut self.fleet.tables, self.now);
    }
}

fn decline(reason: DeclineReason) -> AttemptNews {
    AttemptNews::Declined(DeclineNote {
        reason,
        load: LoadCount::default(),
        retry_after: SpanMillis::default(),
    })
}

fn side_of(vm: &VmName) -> usize {
    (0..SIDES)
        .find(|side| vm_name(*side) == *vm)
        .expect("side process")
}
