//! The way of a request through one or more attempts.

mod ending;

use std::sync::Arc;
use std::thread;

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::RetryBudget;
use fescuetide_members::VmEntry;
use fescuetide_records::AttemptResult;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::TokenUsage;
use fescuetide_wire::frame::AdmissionRule;
use fescuetide_wire::frame::AdmitCondition;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::RefusalReason;

use crate::RouterShared;
use crate::attempt::AttemptEvent;
use crate::attempt::LiveAttempt;
use crate::attempt::NotSent;
use crate::call::CallEvent;
use crate::call::CallSpec;
use crate::call::CallWork;
use crate::history::CallHistory;
use crate::keyed::KeyedCall;
use crate::keyed::KeyedStep;
use crate::plan::CandidatePlan;
use crate::plan::RefusalNote;

/// First wait before a retry; it doubles with each further one and is shortened by jitter.
const RETRY_WAIT_MS: u64 = 50;

/// Longest wait before a retry.
const RETRY_WAIT_LIMIT_MS: u64 = 1_000;

/// The status of an upstream that may take the request later or elsewhere. With other error statuses below 500, every
/// upstream would answer the same.
const TOO_MANY_REQUESTS: u16 = 429;

/// Why a request was given up when its time was over.
const DEADLINE_REASON: &str = "deadline has passed";

/// Runs a request to its end.
pub(crate) struct CallRunner {
    shared: Arc<RouterShared>,
    spec: CallSpec,
    print: CrashFingerprint,
    plan: CandidatePlan,
    lost_on: Vec<VmEntry>,
    /// A candidate to ask once more before the next one of the plan.
    ask_again: Option<(VmEntry, AdmissionRule)>,
    asked_again: bool,
    current_rule: AdmissionRule,
    current: Option<LiveAttempt>,
    admitted: bool,
    delivered: Vec<u8>,
    /// Status of the response's head, once it was passed on.
    head_status: Option<u16>,
    attempts: u32,
    ended: bool,
    last_reason: String,
    history: CallHistory,
    /// The claims of a request that is not repeatable.
    keyed: Option<KeyedCall>,
}

impl CallRunner {
    pub(crate) fn new(shared: Arc<RouterShared>, spec: CallSpec) -> Self {
        shared.retries.with_budget(&spec, RetryBudget::note_request);
        let plan = CandidatePlan::new(&shared, &spec, &[]);
        let keyed = KeyedCall::new(&spec);
        Self {
            print: spec.fingerprint(),
            keyed,
            shared,
            spec,
            plan,
            lost_on: Vec::new(),
            ask_again: None,
            asked_again: false,
            current_rule: AdmissionRule::OwnCap,
            current: None,
            admitted: false,
            delivered: Vec::new(),
            head_status: None,
            attempts: 0,
            ended: false,
            last_reason: "no upstream is available".to_owned(),
            history: CallHistory::default(),
        }
    }

    pub(crate) fn spec(&self) -> &CallSpec {
        &self.spec
    }

    /// Waits for the next event. After the end it must not be called again.
    pub(crate) fn next(&mut self) -> CallEvent {
        loop {
            if ClockMillis::now() >= self.spec.deadline {
                return self.end_at_deadline();
            }
            let Some(mut attempt) = self.current.take() else {
                let is_refused = self.refuse_crasher();
                if is_refused && self.keyed.is_none() {
                    return self.end_not_run();
                }
                if self.keyed.is_some() {
                    if let Some(event) = self.start_keyed(!is_refused) {
                        return event;
                    }
                } else if !self.start_next() && !self.wait_for_suspects() {
                    return self.end_not_run();
                }
                continue;
            };
            let event = attempt.next(&self.shared, self.spec.deadline);
            match event {
                AttemptEvent::Head(status, _) if self.is_other_head(status) => {
                    // An error response must not be appended to what the caller has received.
                    attempt.cancel(&self.shared);
                    let reason = format!("later attempt answered with status {status}");
                    if status != TOO_MANY_REQUESTS {
                        return self.end_unusable(&attempt, reason);
                    }
                    if let Some(event) = self.take_loss(&attempt, reason) {
                        return event;
                    }
                }
                AttemptEvent::Head(status, content_type) => {
                    self.note_admitted(attempt);
                    if matches!(self.spec.work, CallWork::Service { .. }) {
                        self.history.note_part(&self.spec);
                    }
                    if self.head_status.replace(status).is_some() {
                        continue;
                    }
                    return CallEvent::Head(status, content_type);
                }
                AttemptEvent::Chunk(bytes) => {
                    self.note_admitted(attempt);
                    self.history.note_part(&self.spec);
                    self.delivered.extend_from_slice(&bytes);
                    return CallEvent::Chunk(bytes);
                }
                AttemptEvent::Alive => {
                    self.note_admitted(attempt);
                    return CallEvent::Alive;
                }
                AttemptEvent::End(ending) => {
                    if let Some(event) = self.take_ending(&attempt, ending) {
                        return event;
                    }
                }
                AttemptEvent::Refused {
                    reason,
                    load,
                    retry_after,
                } => self.note_refusal(&attempt, reason, load, retry_after),
                AttemptEvent::Lost(reason) => {
                    if let Some(event) = self.take_loss(&attempt, reason) {
                        return event;
                    }
                }
                AttemptEvent::Corrupt(reason) => return self.end_unusable(&attempt, reason),
                AttemptEvent::DeadlinePassed => {
                    self.current = Some(attempt);
                    return self.end_at_deadline();
                }
            }
        }
    }

    fn is_other_head(&self, status: u16) -> bool {
        self.head_status.is_some_and(|first| first != status)
    }

    fn note_admitted(&mut self, attempt: LiveAttempt) {
        self.admitted = true;
        self.current = Some(attempt);
    }

    fn take_ending(&mut self, attempt: &LiveAttempt, ending: AttemptEnding) -> Option<CallEvent> {
        match ending {
            AttemptEnding::Completed {
                prompt_tokens,
                cached_tokens,
                completion_tokens,
            } => {
                self.shared.lock_breaker().note_success(&attempt.vm().name);
                self.shared.lock_suspects().note_completed(self.print);
                self.history
                    .note_result(attempt.tag().attempt, AttemptResult::Completed);
                let usage = TokenUsage {
                    prompt_tokens,
                    cached_tokens,
                    completion_tokens,
                };
                let reason = String::new();
                Some(self.end(CallOutcome::Completed, reason, None, usage))
            }
            AttemptEnding::NotRun(reason) => {
                self.admitted = false;
                self.history
                    .note_result(attempt.tag().attempt, AttemptResult::NotRun(reason.clone()));
                self.last_reason = reason;
                self.plan.note_gone(&attempt.vm().name);
                let now = ClockMillis::now();
                // An attempt whose deadline passed in the queue says nothing about its upstream.
                if now < self.spec.deadline {
                    self.shared
                        .lock_breaker()
                        .note_failure(&attempt.vm().name, now);
                }
                None
            }
            AttemptEnding::Shed(retry_after) => {
                self.admitted = false;
                let reason = RefusalReason::TooLate.to_string();
                self.history
                    .note_result(attempt.tag().attempt, AttemptResult::NotRun(reason.clone()));
                self.last_reason = reason;
                self.plan.note_shed(&attempt.vm().name, retry_after);
                None
            }
            AttemptEnding::Failed(reason) => self.take_loss(attempt, reason),
            AttemptEnding::Crashed(reason) => {
                self.shared.metrics.count("attempt.crashed");
                let now = ClockMillis::now();
                self.shared.lock_suspects().note_crash(self.print, now);
                self.take_loss(attempt, reason)
            }
            AttemptEnding::Cancelled => self.take_loss(attempt, "attempt was cancelled".to_owned()),
        }
    }

    /// Handles an attempt that may have run. Returns the end unless the request is tried again.
    fn take_loss(&mut self, attempt: &LiveAttempt, reason: String) -> Option<CallEvent> {
        let vm = attempt.vm().clone();
        tracing::debug!(tag = %attempt.tag(), vm = %vm.name, %reason, "attempt lost");
        self.shared
            .lock_breaker()
            .note_failure(&vm.name, ClockMillis::now());
        self.history
            .note_result(attempt.tag().attempt, AttemptResult::Lost(reason.clone()));
        self.last_reason = reason.clone();
        self.lost_on.push(vm);
        if !self.spec.targets.repeatable {
            return Some(self.end_with_retry(CallOutcome::Unknown, reason));
        }
        if self.refuse_crasher() || !self.may_retry() {
            let reason = self.last_reason.clone();
            return Some(self.end_with_retry(CallOutcome::Failed, reason));
        }
        self.wait_before_retry();
        self.plan = CandidatePlan::new(&self.shared, &self.spec, &self.lost_on);
        None
    }

    fn is_suspect(&self) -> bool {
        let now = ClockMillis::now();
        self.shared.lock_suspects().is_suspect(self.print, now)
    }

    /// Whether the request is refused because it crashes upstreams.
    fn refuse_crasher(&mut self) -> bool {
        let refusal = self
            .shared
            .lock_suspects()
            .refusal(self.print, ClockMillis::now());
        let Some(left) = refusal else {
            return false;
        };
        self.plan.note_crasher(left);
        self.last_reason = "request crashed upstreams and is refused for a time".to_owned();
        true
    }

    /// Waits for a while when an upstream refused only because another suspect runs there. Returns whether it did.
    fn wait_for_suspects(&mut self) -> bool {
        if !self.plan.is_held_by_suspect() {
            return false;
        }
        self.wait_before_retry();
        self.plan = CandidatePlan::new(&self.shared, &self.spec, &self.lost_on);
        true
    }

    fn may_retry(&self) -> bool {
        let is_service = matches!(self.spec.work, CallWork::Service { .. });
        if is_service && self.head_status.is_some() {
            // Bytes of the response have reached the caller; another run's response need not match them.
            return false;
        }
        self.shared
            .retries
            .with_budget(&self.spec, RetryBudget::try_retry)
    }

    fn wait_before_retry(&self) {
        let doubled = RETRY_WAIT_MS << self.lost_on.len().min(8);
        let limit = doubled.min(RETRY_WAIT_LIMIT_MS);
        let left = self.spec.deadline.since(ClockMillis::now()).as_millis();
        let jitter = StableHash::new()
            .field(self.spec.request.as_uuid().as_bytes())
            .field(&self.attempts.to_le_bytes())
            .finish();
        let wait = (limit / 2 + jitter % (limit / 2)).min(left);
        thread::sleep(SpanMillis::new(wait).into());
    }

    fn next_candidate(&mut self) -> Option<(VmEntry, AdmissionRule)> {
        match self.ask_again.take() {
            Some(candidate) => Some(candidate),
            None => self.plan.next_candidate(),
        }
    }

    /// Starts an attempt at the next candidate. Returns whether there was one.
    fn start_next(&mut self) -> bool {
        while let Some((vm, rule)) = self.next_candidate() {
            thread::sleep(self.plan.wait().into());
            if ClockMillis::now() >= self.spec.deadline {
                self.last_reason = DEADLINE_REASON.to_owned();
                return false;
            }
            let tag = AttemptTag {
                request: self.spec.request,
                attempt: AttemptId::generate(),
            };
            self.current_rule = rule;
            let mut dispatch = DispatchFrame {
                condition: self.plan.condition(),
                prefix_source: self.plan.prefix_source(&vm),
                ..make_dispatch(&self.spec, &self.delivered, tag, rule)
            };
            dispatch.suspect = self.is_suspect();
            if !self.lost_on.is_empty() {
                // A request that has been tried is not refused for being late: it would count as lost.
                dispatch.slack = dispatch.deadline;
            }
            self.history.note_sent(tag.attempt, &vm.name);
            match LiveAttempt::start(&self.shared, &vm, dispatch) {
                Ok(attempt) => {
                    self.attempts += 1;
                    self.current = Some(attempt);
                    return true;
                }
                Err(NotSent(error)) => {
                    self.shared.metrics.count("connect.failed");
                    self.last_reason = format!("VM {} cannot be reached: {error}", vm.name);
                    self.history
                        .note_result(tag.attempt, AttemptResult::NotSent(error.to_string()));
                    self.shared
                        .lock_breaker()
                        .note_failure(&vm.name, ClockMillis::now());
                }
            }
        }
        false
    }

    /// Claims the key and starts or joins an attempt. Returns the end when there is none.
    fn start_keyed(&mut self, may_run: bool) -> Option<CallEvent> {
        let suspect = self.is_suspect();
        let keyed = self.keyed.as_mut()?;
        keyed.set_may_run(may_run);
        let (shared, spec) = (&self.shared, &self.spec);
        let step = keyed.start(shared, spec, &mut self.plan, |tag, rule| DispatchFrame {
            suspect,
            ..make_dispatch(spec, &[], tag, rule)
        });
        let attempt = match step {
            KeyedStep::Dispatched(attempt) => {
                self.attempts += 1;
                attempt
            }
            KeyedStep::Joined(attempt) => attempt,
            KeyedStep::Ended {
                outcome,
                reason,
                retry_after,
            } => return Some(self.end(outcome, reason, retry_after, TokenUsage::default())),
        };
        self.history
            .note_sent(attempt.tag().attempt, &attempt.vm().name);
        self.current = Some(attempt);
        None
    }

    fn note_refusal(
        &mut self,
        attempt: &LiveAttempt,
        reason: RefusalReason,
        load: LoadCount,
        retry_after: SpanMillis,
    ) {
        self.shared.metrics.count("attempt.refused");
        self.last_reason = reason.to_string();
        if self.plan.condition() == AdmitCondition::Always {
            self.history.note_result(
                attempt.tag().attempt,
                AttemptResult::Refused(reason.to_string()),
            );
        } else {
            // A declined offer on a condition is a question, not an attempt.
            self.attempts -= 1;
            self.history.forget(attempt.tag().attempt);
        }
        if let Some(keyed) = &mut self.keyed {
            keyed.note_refusal(reason);
        } else if reason == RefusalReason::Sealed && !self.asked_again {
            // The dispatch went into a connection that had gone silent; the seal came over a new one, so the VM is well.
            self.asked_again = true;
            self.ask_again = Some((attempt.vm().clone(), self.current_rule));
            return;
        }
        self.plan.note_refusal(RefusalNote {
            vm: attempt.vm().clone(),
            reason,
            load,
            retry_after,
        });
    }
}

fn make_dispatch(
    spec: &CallSpec,
    delivered: &[u8],
    tag: AttemptTag,
    admission: AdmissionRule,
) -> DispatchFrame {
    let now = ClockMillis::now();
    let late_at = spec.received + spec.targets.lateness.within;
    DispatchFrame {
        tag,
        target: Default::default(),
        workspace: spec.workspace.clone(),
        class: spec.class.clone(),
        repeatable: spec.targets.repeatable,
        key: spec.work_key(),
        slack: late_at.since(now),
        deadline: spec.deadline.since(now),
        chat: spec.chat_turn(),
        condition: AdmitCondition::Always,
        prefix_source: None,
        loss_share: spec.targets.loss_share,
        suspect: false,
        admission,
        work: spec.work_body(delivered),
    }
}
