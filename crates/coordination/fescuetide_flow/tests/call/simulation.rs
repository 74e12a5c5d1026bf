//! A simulation of everything that handles a key: callers, the claim log, registrars and side processes.

use fescuetide_base::prelude::*;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ClaimKey;
use fescuetide_claims::ClaimLedger;
use fescuetide_claims::ClaimStatus;
use fescuetide_claims::ClaimWindow;
use fescuetide_claims::ProcessInstance;
use fescuetide_flow::AttemptUpdate;
use fescuetide_flow::CallFlow;
use fescuetide_flow::CallStep;
use fescuetide_flow::CallVerdict;
use fescuetide_flow::ClaimAnswer;
use fescuetide_flow::ClaimCommand;
use fescuetide_flow::DeclineReason;
use fescuetide_flow::DeclineReply;
use fescuetide_flow::KeyQuery;
use fescuetide_flow::KeyStatus;

use crate::harness::CONTENT;
use crate::harness::FleetModel;
use crate::harness::key_at;
use crate::harness::keyed;
use crate::harness::vm_name;

/// Number of upstreams with side processes.
pub(crate) const SIDE_COUNT: usize = 2;

/// Maximum number of concurrent callers that send the same key.
const CALLER_LIMIT: usize = 4;

/// Number of fault-free steps within which every request must end.
const FAULT_FREE_STEPS: usize = 200;

/// A fault that is injected into a step. Each variant lists the steps that it affects. In `listen`, every fault breaks
/// the connection of an undelivered offer; the attempt is then sealed over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepFault {
    /// No fault.
    None,
    /// A connection or key query fails without effect, a claim cannot be appended, or an offer is declined because it
    /// would exceed the load cap.
    Fails,
    /// A claim is appended later, a key query takes effect but its reply is lost, or an offer stays in flight.
    Late,
    /// A claim is answered from only this many records of the log, or an offer stays in flight.
    Stale(usize),
}

/// The state of the key at a side process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SideKeyState {
    Sealed,
    Queued(AttemptId),
    Running(AttemptId),
    Done(AttemptId),
    NeverRan(AttemptId),
}

#[derive(Clone, Debug, Default)]
struct SideProcessModel {
    incarnation: u64,
    key: Option<SideKeyState>,
    sealed_attempts: Vec<AttemptId>,
}

/// An offer that is in flight or was delivered to a side process.
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

/// The simulation of one key.
pub(crate) struct KeySimulation {
    fleet: FleetModel,
    now: ClockMillis,
    key: ClaimKey,
    ledger: ClaimLedger,
    /// All claims in the order of the log.
    log: Vec<ClaimEntry>,
    /// Claims that will be appended although their requester no longer waits.
    late_claims: Vec<ClaimEntry>,
    side_processes: Vec<SideProcessModel>,
    callers: Vec<CallerModel>,
    /// Offers in flight whose router or connection is gone.
    orphaned_offers: Vec<OfferState>,
    runs: u32,
}

impl KeySimulation {
    pub(crate) fn new() -> Self {
        let now = ClockMillis::new(1_000_000);
        Self {
            fleet: FleetModel::new(SIDE_COUNT),
            now,
            key: key_at(now),
            ledger: ClaimLedger::new(ClaimWindow::default()),
            log: Vec::new(),
            late_claims: Vec::new(),
            side_processes: vec![SideProcessModel::default(); SIDE_COUNT],
            callers: Vec::new(),
            orphaned_offers: Vec::new(),
            runs: 0,
        }
    }

    /// A caller sends or resends the key.
    pub(crate) fn arrive(&mut self) {
        if self.callers.len() >= CALLER_LIMIT {
            return;
        }
        let metadata = keyed(&self.key, self.now);
        let now = self.now;
        let flow = self
            .fleet
            .with_tables(|tables, view| CallFlow::new(metadata, tables, view, now));
        self.callers.push(CallerModel {
            flow,
            opened: None,
            offer: None,
        });
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + SpanMillis::new(millis);
    }

    /// Appends the late claims to the log.
    pub(crate) fn append_late_claims(&mut self) {
        for claim in std::mem::take(&mut self.late_claims) {
            self.append(claim);
        }
    }

    /// A side process starts or completes its attempt.
    pub(crate) fn advance_side(&mut self, side: usize) {
        let side = &mut self.side_processes[side];
        match side.key {
            Some(SideKeyState::Queued(attempt)) => {
                side.key = Some(SideKeyState::Running(attempt));
                self.runs += 1;
            }
            Some(SideKeyState::Running(attempt)) => side.key = Some(SideKeyState::Done(attempt)),
            _ => {}
        }
    }

    /// A side process sheds an attempt that it has not started.
    pub(crate) fn shed(&mut self, side: usize) {
        let side = &mut self.side_processes[side];
        if let Some(SideKeyState::Queued(attempt)) = side.key {
            side.key = Some(SideKeyState::NeverRan(attempt));
        }
    }

    pub(crate) fn restart_side(&mut self, side: usize) {
        let side = &mut self.side_processes[side];
        side.incarnation += 1;
        side.key = None;
        side.sealed_attempts.clear();
    }

    /// Kills a router. Its offers in flight may still arrive.
    pub(crate) fn kill_router(&mut self, caller: usize) {
        if self.callers.is_empty() {
            return;
        }
        let caller = self.callers.swap_remove(caller % self.callers.len());
        let undelivered = caller.offer.filter(|offer| !offer.is_delivered);
        self.orphaned_offers.extend(undelivered);
    }

    /// Delivers the offers in flight of lost routers and connections.
    pub(crate) fn deliver_orphaned_offers(&mut self) {
        for offer in std::mem::take(&mut self.orphaned_offers) {
            if self.side_processes[offer.side].incarnation == offer.incarnation {
                self.deliver(offer);
            }
        }
    }

    /// Delivers the offers in flight.
    pub(crate) fn deliver_offers(&mut self) {
        for index in 0..self.callers.len() {
            let Some(offer) = self.callers[index].offer else {
                continue;
            };
            let is_here = self.side_processes[offer.side].incarnation == offer.incarnation;
            if offer.is_delivered || !is_here {
                continue;
            }
            let declined = self.deliver(offer);
            self.callers[index].offer = Some(OfferState {
                is_delivered: true,
                ..offer
            });
            if let Some(reason) = declined {
                self.send_update(index, decline(reason));
            }
        }
        self.collect_ended();
    }

    /// A router executes the next step of its request.
    pub(crate) fn step(&mut self, caller: usize, fault: StepFault) {
        if self.callers.is_empty() {
            return;
        }
        let index = caller % self.callers.len();
        let now = self.now;
        let flow = &mut self.callers[index].flow;
        let step = self
            .fleet
            .with_tables(|tables, view| flow.step(tables, view, now));
        match step {
            CallStep::Wait(until) => self.now = self.now.max(until),
            CallStep::Connect(vm) => self.connect(index, side_of(&vm.name), fault),
            CallStep::Claim(command) => self.claim(index, &command, fault),
            CallStep::QueryKey(query) => self.query_key(index, &query, fault),
            CallStep::Offer(_) => self.offer(index, fault),
            CallStep::Listen => self.listen(index, fault),
            CallStep::Cancel => panic!("an at-most-once attempt must not be cancelled"),
            CallStep::End(_) => {}
        }
        self.collect_ended();
    }

    /// Removes requests that have ended. Each verdict must be correct at that time.
    fn collect_ended(&mut self) {
        let mut index = 0;
        while let Some(caller) = self.callers.get(index) {
            match caller.flow.end_result().map(|end| end.verdict) {
                Some(verdict) => self.check_end(index, verdict),
                None => index += 1,
            }
        }
    }

    /// Runs all requests to their end without further faults.
    pub(crate) fn settle(&mut self) {
        self.append_late_claims();
        for _ in 0..FAULT_FREE_STEPS {
            for side in 0..SIDE_COUNT {
                self.advance_side(side);
            }
            self.deliver_offers();
            for caller in 0..self.callers.len() {
                self.step(caller, StepFault::None);
            }
            if self.callers.is_empty() {
                return;
            }
        }
        panic!("a request has not ended within {FAULT_FREE_STEPS} fault-free steps");
    }

    /// Checks that the key ran at most once.
    pub(crate) fn check(&self) {
        assert!(self.runs <= 1, "the key ran {} times", self.runs);
    }

    fn check_end(&mut self, index: usize, verdict: CallVerdict) {
        let caller = self.callers.swap_remove(index);
        match verdict {
            CallVerdict::NotRun(evidence) => {
                assert_eq!(self.runs, 0, "reported as not run ({evidence}), but ran");
                let is_queued = caller.offer.is_some_and(|offer| {
                    self.side_processes[offer.side].key == Some(SideKeyState::Queued(offer.attempt))
                });
                assert!(!is_queued, "reported as not run, but may still run");
            }
            CallVerdict::Completed => {
                assert_eq!(self.runs, 1, "reported as completed, but never ran");
            }
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
        let incarnation = self.side_processes[side].incarnation;
        caller.opened = Some((side, incarnation));
        caller
            .flow
            .note_connected(ProcessIncarnation::new(incarnation));
    }

    fn claim(&mut self, index: usize, command: &ClaimCommand, fault: StepFault) {
        let router = ProcessInstance {
            vm: "router".parse().unwrap(),
            incarnation: ProcessIncarnation::new(1),
        };
        let supersedes = match command.target {
            Some(_) => command.supersedes,
            // A look-up, as in a router: a claim that supersedes a non-existent claim is not appended.
            None => Some(ClaimId::generate()),
        };
        let claim = ClaimEntry {
            id: ClaimId::generate(),
            key: self.key.clone(),
            target: command.target.clone().unwrap_or_else(|| router.clone()),
            router,
            request_hash: CONTENT,
            supersedes,
        };
        let answer = match fault {
            StepFault::None => self.register(&claim),
            StepFault::Fails => self.answer_without_append(),
            StepFault::Late => {
                let answer = self.answer_without_append();
                self.late_claims.push(claim.clone());
                answer
            }
            StepFault::Stale(length) => self.answer_from(length),
        };
        let caller = &mut self.callers[index];
        caller
            .flow
            .note_claim(claim, answer, &mut self.fleet.tables, self.now);
    }

    /// The reply of a registrar that reads the log to its end, appends the claim, and reads it back.
    fn register(&mut self, claim: &ClaimEntry) -> ClaimAnswer {
        for _ in 0..2 {
            match self.ledger.look_up(&self.key, self.now) {
                ClaimStatus::Unknown => return ClaimAnswer::Unknown,
                ClaimStatus::Held(found) if found.id == claim.id => return ClaimAnswer::Claimed,
                ClaimStatus::Held(found) if claim.supersedes == Some(found.id) => {}
                ClaimStatus::Held(found) => {
                    return ClaimAnswer::ClaimedByOther {
                        claim: Box::new(found.clone()),
                        caught_up: true,
                    };
                }
                ClaimStatus::Free if claim.supersedes.is_some() => return ClaimAnswer::Free,
                ClaimStatus::Free => {}
            }
            self.append(claim.clone());
        }
        unreachable!("an appended claim is the current one, or another claim is");
    }

    /// The reply of a registrar that has read all claims but cannot append one.
    fn answer_without_append(&self) -> ClaimAnswer {
        match self.ledger.look_up(&self.key, self.now) {
            ClaimStatus::Held(found) => ClaimAnswer::ClaimedByOther {
                claim: Box::new(found.clone()),
                caught_up: false,
            },
            ClaimStatus::Free => ClaimAnswer::Unavailable {
                retry_after: SpanMillis::new(1_000),
                is_free: self.late_claims.is_empty(),
            },
            ClaimStatus::Unknown => ClaimAnswer::Unknown,
        }
    }

    /// The reply of a registrar that has read only the first `length` records of the log.
    fn answer_from(&self, length: usize) -> ClaimAnswer {
        let mut ledger = ClaimLedger::new(ClaimWindow::default());
        for claim in self.log.iter().take(length) {
            let offset = ledger.next_offset();
            let folded = ledger.fold(offset, std::slice::from_ref(claim));
            assert!(folded.is_ok(), "claims are folded in order");
        }
        match ledger.look_up(&self.key, self.now) {
            ClaimStatus::Held(found) => ClaimAnswer::ClaimedByOther {
                claim: Box::new(found.clone()),
                caught_up: false,
            },
            ClaimStatus::Free | ClaimStatus::Unknown => ClaimAnswer::Unavailable {
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

    fn query_key(&mut self, index: usize, query: &KeyQuery, fault: StepFault) {
        let side = &mut self.side_processes[side_of(&query.vm.name)];
        let caller = &mut self.callers[index];
        caller.opened = None;
        let tables = &mut self.fleet.tables;
        if matches!(fault, StepFault::Fails | StepFault::Late) {
            if fault == StepFault::Late && side.key.is_none() {
                side.key = Some(SideKeyState::Sealed);
            }
            caller
                .flow
                .handle_query_failure("no answer", tables, self.now);
            return;
        }
        if side.incarnation != query.claim.target.incarnation.get() {
            let status = KeyStatus::Unknown("restarted".to_owned());
            caller.flow.handle_key_status(status, tables, self.now);
            return;
        }
        let status = match side.key {
            None | Some(SideKeyState::Sealed) => {
                side.key = Some(SideKeyState::Sealed);
                KeyStatus::NeverSeen
            }
            Some(
                SideKeyState::Queued(attempt)
                | SideKeyState::Running(attempt)
                | SideKeyState::Done(attempt)
                | SideKeyState::NeverRan(attempt),
            ) => {
                caller.offer = Some(OfferState {
                    side: side_of(&query.vm.name),
                    incarnation: side.incarnation,
                    attempt,
                    is_delivered: true,
                });
                KeyStatus::Joined(attempt)
            }
        };
        caller.flow.handle_key_status(status, tables, self.now);
    }

    fn offer(&mut self, index: usize, fault: StepFault) {
        let attempt = AttemptId::generate();
        let caller = &mut self.callers[index];
        caller.flow.note_sent(attempt, &mut self.fleet.tables);
        let Some((side, incarnation)) = caller.opened.take() else {
            panic!("an offer under a claim must use the connection that was opened for it");
        };
        let offer = OfferState {
            side,
            incarnation,
            attempt,
            is_delivered: false,
        };
        caller.offer = Some(offer);
        if self.side_processes[side].incarnation != incarnation {
            self.send_update(index, AttemptUpdate::Lost("restarted".to_owned()));
            return;
        }
        if fault == StepFault::Fails {
            self.callers[index].offer = None;
            self.send_update(index, decline(DeclineReason::OverBound));
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
            self.send_update(index, decline(reason));
        }
    }

    fn deliver(&mut self, offer: OfferState) -> Option<DeclineReason> {
        let side = &mut self.side_processes[offer.side];
        if side.sealed_attempts.contains(&offer.attempt) {
            return Some(DeclineReason::Sealed);
        }
        match side.key {
            None => {
                side.key = Some(SideKeyState::Queued(offer.attempt));
                None
            }
            Some(SideKeyState::Sealed) => Some(DeclineReason::Sealed),
            Some(_) => Some(DeclineReason::KeySeen),
        }
    }

    fn listen(&mut self, index: usize, fault: StepFault) {
        let Some(offer) = self.callers[index].offer else {
            return;
        };
        let side = &mut self.side_processes[offer.side];
        if side.incarnation != offer.incarnation {
            self.send_update(index, AttemptUpdate::Lost("restarted".to_owned()));
            return;
        }
        if !offer.is_delivered {
            if fault != StepFault::None {
                // The connection is lost. The query over a new connection seals the attempt.
                side.sealed_attempts.push(offer.attempt);
                self.orphaned_offers.push(offer);
                self.callers[index].offer = None;
                self.send_update(index, decline(DeclineReason::Sealed));
            }
            return;
        }
        match side.key {
            Some(SideKeyState::Done(done)) if done == offer.attempt => {
                self.send_update(index, AttemptUpdate::Completed);
            }
            Some(SideKeyState::NeverRan(shed)) if shed == offer.attempt => {
                self.send_update(index, AttemptUpdate::Shed(SpanMillis::new(500)));
            }
            _ => self.send_update(index, AttemptUpdate::Alive),
        }
    }

    fn send_update(&mut self, index: usize, update: AttemptUpdate) {
        let caller = &mut self.callers[index];
        caller
            .flow
            .handle_update(update, &mut self.fleet.tables, self.now);
    }
}

fn decline(reason: DeclineReason) -> AttemptUpdate {
    AttemptUpdate::Declined(DeclineReply {
        reason,
        load: LoadCount::default(),
        retry_after: SpanMillis::default(),
    })
}

fn side_of(vm: &VmName) -> usize {
    (0..SIDE_COUNT)
        .find(|side| vm_name(*side) == *vm)
        .expect("side process")
}
