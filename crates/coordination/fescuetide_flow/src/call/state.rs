//! The state machine of one request.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::VmName;
use fescuetide_limits::AdmitRule;
use fescuetide_limits::CrashCount;
use fescuetide_members::VmEntry;

use super::CallEnd;
use super::CallMetadata;
use super::CallStep;
use super::CallTables;
use super::CallView;
use super::claims::KeyClaims;
use super::claims::KeyState;
use super::history::CallHistory;
use super::plan::CandidatePlan;

/// The target of an offer that is being sent.
#[derive(Clone, Debug)]
pub(crate) struct OfferTarget {
    pub(crate) vm: VmEntry,
    pub(crate) rule: AdmitRule,
    pub(crate) at: ClockMillis,
    /// The crashes of the request that were known when the offer was made.
    pub(crate) known_crashes: CrashCount,
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct RunningAttempt {
    pub(crate) vm: VmEntry,
    pub(crate) rule: AdmitRule,
    pub(crate) attempt: AttemptId,
    /// Whether it is counted as outstanding at its upstream. An attempt that another request with the same key started,
    /// and whose response this request receives, is not.
    pub(crate) is_counted: bool,
    /// The crashes of the request that were known when it was offered.
    pub(crate) known_crashes: CrashCount,
}

/// What happens after a pause.
#[derive(Clone, Debug)]
pub(crate) enum AfterPause {
    /// The request is offered to the candidate.
    Offer(VmEntry, AdmitRule),
    /// The candidates are ranked again.
    Rank,
}

/// The state of a request.
#[derive(Clone, Debug)]
pub(crate) enum CallState {
    /// The next candidate must be chosen.
    Ready,
    /// Paused until the given time.
    Paused(ClockMillis, AfterPause),
    /// An offer is being sent.
    Offering(OfferTarget),
    /// An attempt is in progress.
    Running(RunningAttempt),
    /// The key is being claimed, or the side process that a claim names is being queried.
    Keyed(KeyState),
    /// The request has ended.
    Ended(Box<CallEnd>),
}

/// Processes one request of a router.
///
/// The process calls [`step`](Self::step), executes the returned [`CallStep`], and reports the result through the
/// matching `note_` or `handle_` method. Methods take the current time as an argument.
#[derive(Clone, Debug)]
pub struct CallFlow {
    pub(crate) metadata: CallMetadata,
    pub(crate) plan: CandidatePlan,
    pub(crate) state: CallState,
    /// Whether the side process must be told to cancel the attempt.
    pub(crate) cancel_pending: bool,
    /// VMs where an attempt may have run but gave no complete response.
    pub(crate) lost_on: Vec<VmName>,
    /// A candidate to offer the request to again before the next one of the plan.
    pub(crate) repeat_candidate: Option<(VmEntry, AdmitRule)>,
    /// Whether an offer of a request without an idempotency key was repeated because its attempt was sealed. Done at
    /// most once per request.
    pub(crate) has_repeated: bool,
    /// Status of the response head, once it has been relayed.
    pub(crate) head_status: Option<u16>,
    pub(crate) attempts: u32,
    pub(crate) last_reason: String,
    pub(crate) history: CallHistory,
    /// The claims of an at-most-once request.
    pub(crate) claims: Option<KeyClaims>,
}

impl CallFlow {
    /// Creates the state machine for a request.
    pub fn new(
        metadata: CallMetadata,
        tables: &mut CallTables,
        view: &CallView<'_>,
        now: ClockMillis,
    ) -> Self {
        tables.retries.budget(&metadata).note_request();
        let plan = CandidatePlan::new(&metadata, tables, view, &[], now);
        let claims = metadata.key.is_some().then(KeyClaims::new);
        Self {
            metadata,
            plan,
            state: CallState::Ready,
            cancel_pending: false,
            lost_on: Vec::new(),
            repeat_candidate: None,
            has_repeated: false,
            head_status: None,
            attempts: 0,
            last_reason: "no upstream is available".to_owned(),
            history: CallHistory::default(),
            claims,
        }
    }

    /// The properties of the request.
    pub fn metadata(&self) -> &CallMetadata {
        &self.metadata
    }

    /// The result of the request, once it has ended.
    pub fn end_result(&self) -> Option<&CallEnd> {
        match &self.state {
            CallState::Ended(end) => Some(end),
            _ => None,
        }
    }

    /// Advances the state machine and returns the next step to execute.
    pub fn step(
        &mut self,
        tables: &mut CallTables,
        view: &CallView<'_>,
        now: ClockMillis,
    ) -> CallStep {
        if now >= self.metadata.deadline {
            self.end_at_deadline(tables, now);
        }
        loop {
            if self.take_pending_cancel() {
                return CallStep::Cancel;
            }
            let step = match &self.state {
                CallState::Ready => self.choose(tables, now),
                CallState::Paused(until, _) if now < *until => Some(CallStep::Wait(*until)),
                CallState::Paused(_, AfterPause::Offer(vm, rule)) => {
                    let (vm, rule) = (vm.clone(), *rule);
                    Some(self.offer(vm, rule, tables, now))
                }
                CallState::Paused(_, AfterPause::Rank) => {
                    self.plan =
                        CandidatePlan::new(&self.metadata, tables, view, &self.lost_on, now);
                    self.state = CallState::Ready;
                    None
                }
                CallState::Offering(_) | CallState::Running(_) => Some(CallStep::Listen),
                CallState::Keyed(state) => {
                    let state = state.clone();
                    self.step_keyed(state, tables, view, now)
                }
                CallState::Ended(end) => Some(CallStep::End(end.clone())),
            };
            if let Some(step) = step {
                return step;
            }
        }
    }

    /// Whether the side process must be told now to cancel the attempt. Resets the flag.
    pub fn take_pending_cancel(&mut self) -> bool {
        std::mem::take(&mut self.cancel_pending)
    }

    /// Chooses the next step while no attempt is in progress. Returns `None` if only the state has changed.
    fn choose(&mut self, tables: &mut CallTables, now: ClockMillis) -> Option<CallStep> {
        let is_refused = self.refuse_crashing_request(tables, now);
        if self.claims.is_some() {
            self.start_round(!is_refused, tables, now);
            return None;
        }
        if is_refused {
            self.end_without_attempt(tables, now);
            return None;
        }
        self.offer_next(tables, now)
    }
}
