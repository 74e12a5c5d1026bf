//! The way of a request that may run once: claim, offer, and what a claim of another request leads to.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ProcessInstance;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;

use super::AskOrder;
use super::CallFlow;
use super::CallStep;
use super::CallTables;
use super::CallVerdict;
use super::CallView;
use super::ClaimOrder;
use super::DeclineReason;
use super::claims::KeyCandidate;
use super::claims::KeyState;
use super::ending::RETRY_AFTER;
use super::life::CallState;
use super::life::RunningAttempt;

/// Most claims that one request makes.
const ROUND_LIMIT: u32 = 8;

/// How often a side process is asked about a key.
const ASK_LIMIT: u32 = 2;

/// How long an offer may take to arrive after its claim was read back.
const OFFER_WAIT: SpanMillis = SpanMillis::new(500);

/// What a registrar says about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim was read back as the current one.
    Claimed,
    /// Another claim holds the key.
    Held {
        /// The claim.
        claim: Box<ClaimEntry>,
        /// Whether the registrar had read the log up to its end. Otherwise a later claim may have replaced this one.
        caught_up: bool,
    },
    /// No claim holds the key, and this one names a claim to replace. It is not appended.
    Free,
    /// The key is outside of the window: whether it was claimed cannot be told.
    Unknown,
    /// The log cannot be read or written in time. The claim may still appear in it.
    Unavailable {
        /// When to come back.
        retry_after: SpanMillis,
        /// Whether the key is known to have had no claim.
        is_free: bool,
    },
}

/// What the side process named by a claim says about the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyFate {
    /// An attempt is there; its response is read.
    Joined(AttemptId),
    /// The key was never seen and is barred there now.
    NeverSeen,
    /// It cannot be told whether it ran, and why.
    Unknown(String),
}

impl CallFlow {
    /// The connection for the claim is open.
    pub fn note_connected(&mut self, incarnation: ProcessIncarnation) {
        let CallState::Keyed(KeyState::Connecting(vm, rule)) = &self.state else {
            return;
        };
        let candidate = KeyCandidate {
            vm: vm.clone(),
            rule: *rule,
            incarnation,
        };
        self.state = CallState::Keyed(KeyState::ClaimDue(Some(candidate)));
    }

    /// No connection for the claim could be opened.
    pub fn note_not_connected(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let CallState::Keyed(KeyState::Connecting(vm, _)) = &self.state else {
            return;
        };
        tables.breaker.note_failure(&vm.name, now);
        self.plan.note_gone(&vm.name);
        self.state = CallState::Keyed(KeyState::CandidateDue);
    }

    /// Notes what the registrar said about `claim`.
    pub fn note_claim(
        &mut self,
        claim: ClaimEntry,
        answer: ClaimAnswer,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let CallState::Keyed(KeyState::Claiming(candidate)) = &self.state else {
            return;
        };
        let candidate = candidate.clone();
        let Some(claims) = &mut self.claims else {
            return;
        };
        match (answer, candidate) {
            (ClaimAnswer::Claimed, Some(candidate)) => {
                claims.evidence.note_claim();
                claims.current = Some(claim);
                self.state = CallState::Keyed(KeyState::OfferDue(candidate));
            }
            (ClaimAnswer::Held { claim, caught_up }, None) if claims.is_replaced(&claim) => {
                claims.evidence.note_current(caught_up);
                self.give_up("no other upstream is available", None, tables, now);
            }
            (ClaimAnswer::Held { claim, .. }, candidate) => {
                claims.pending = candidate.map(|candidate| (candidate.vm, candidate.rule));
                claims.evidence.note_claim();
                self.follow(*claim, tables, now);
            }
            (ClaimAnswer::Free, None) => {
                claims.evidence.note_free();
                self.give_up("no upstream is available", None, tables, now);
            }
            (
                ClaimAnswer::Unavailable {
                    retry_after,
                    is_free,
                },
                _,
            ) => {
                claims.evidence.note_unavailable(is_free);
                let reason = "claim log cannot be used in time";
                self.give_up(reason, Some(retry_after), tables, now);
            }
            (ClaimAnswer::Unknown | ClaimAnswer::Free | ClaimAnswer::Claimed, _) => {
                let reason = "idempotency key is too old to tell whether it ran";
                self.end_unknown(reason.to_owned(), tables, now);
            }
        }
    }

    /// Notes what the holder of the key said.
    pub fn note_fate(&mut self, fate: KeyFate, tables: &mut CallTables, now: ClockMillis) {
        let CallState::Keyed(KeyState::Asking(order, _)) = &self.state else {
            return;
        };
        let AskOrder { vm, claim, .. } = (**order).clone();
        let Some(claims) = &mut self.claims else {
            return;
        };
        match fate {
            KeyFate::Joined(attempt) => {
                claims.current = Some(claim);
                self.history.note_sent(attempt, &vm.name, now);
                self.state = CallState::Running(RunningAttempt {
                    vm,
                    rule: AdmitRule::OwnCap,
                    attempt,
                    is_counted: false,
                });
            }
            KeyFate::NeverSeen => {
                claims.replace(claim, true);
                self.state = CallState::Keyed(KeyState::RoundDue);
            }
            KeyFate::Unknown(reason) => self.end_unknown(reason, tables, now),
        }
    }

    /// The holder of the key could not be asked.
    pub fn note_not_asked(&mut self, reason: &str, tables: &mut CallTables, now: ClockMillis) {
        let CallState::Keyed(KeyState::Asking(order, tries)) = &self.state else {
            return;
        };
        let tries = tries + 1;
        if tries < ASK_LIMIT {
            self.state = CallState::Keyed(KeyState::AskDue(order.claim.clone(), tries));
            return;
        }
        let reason = format!("VM {} cannot be asked: {reason}", order.vm.name);
        self.end_unknown(reason, tables, now);
    }

    /// Begins with the claims, or goes on after an attempt that did not run.
    pub(super) fn start_round(&mut self, may_run: bool, tables: &mut CallTables, now: ClockMillis) {
        let Some(claims) = &mut self.claims else {
            return;
        };
        claims.may_run = may_run;
        self.state = CallState::Keyed(KeyState::RoundDue);
        let Some(claim) = claims.current.take() else {
            return;
        };
        match claims.refusal.take() {
            Some(reason) if reason.may_have_run() => self.follow(claim, tables, now),
            // The key is known there, so it would be refused again.
            Some(DeclineReason::Sealed) | None => claims.replace(claim, true),
            Some(_) => claims.replace(claim, false),
        }
    }

    /// Goes on from `state`. `None` when only the state has changed.
    pub(super) fn step_keyed(
        &mut self,
        state: KeyState,
        tables: &mut CallTables,
        view: &CallView<'_>,
        now: ClockMillis,
    ) -> Option<CallStep> {
        match state {
            KeyState::RoundDue => {
                self.count_round(tables, now);
                None
            }
            KeyState::CandidateDue => {
                let Some((vm, rule)) = self.next_key_candidate() else {
                    self.state = CallState::Keyed(KeyState::ClaimDue(None));
                    return None;
                };
                self.state = CallState::Keyed(KeyState::Connecting(vm.clone(), rule));
                Some(CallStep::Connect(vm))
            }
            KeyState::ClaimDue(candidate) => Some(self.order_claim(candidate)),
            KeyState::AskDue(claim, tries) => self.ask_holder(claim, tries, tables, view, now),
            KeyState::OfferDue(candidate) => {
                Some(self.offer(candidate.vm, candidate.rule, tables, now))
            }
            // The process carries an order out, and the caller gives up at the deadline.
            KeyState::Connecting(..) | KeyState::Claiming(_) | KeyState::Asking(..) => {
                Some(CallStep::Wait(self.facts.deadline))
            }
        }
    }

    fn ask_holder(
        &mut self,
        claim: ClaimEntry,
        tries: u32,
        tables: &mut CallTables,
        view: &CallView<'_>,
        now: ClockMillis,
    ) -> Option<CallStep> {
        let Some(vm) = view.vms.get(&claim.target.vm).cloned() else {
            let reason = format!("VM {} is gone", claim.target.vm);
            self.end_unknown(reason, tables, now);
            return None;
        };
        let wait = self.offer_wait(&claim, now);
        let order = Box::new(AskOrder { vm, claim, wait });
        self.state = CallState::Keyed(KeyState::Asking(order.clone(), tries));
        Some(CallStep::Ask(order))
    }

    fn count_round(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let Some(claims) = &mut self.claims else {
            return;
        };
        if claims.rounds >= ROUND_LIMIT {
            self.give_up("too many upstreams refused", None, tables, now);
            return;
        }
        claims.rounds += 1;
        self.state = CallState::Keyed(KeyState::CandidateDue);
    }

    /// The next candidate where the key is not sealed.
    fn next_key_candidate(&mut self) -> Option<(VmEntry, AdmitRule)> {
        let claims = self.claims.as_mut()?;
        if !claims.may_run {
            return None;
        }
        loop {
            let candidate = match claims.pending.take() {
                Some(pending) => pending,
                None => self.plan.next_candidate()?,
            };
            if !claims.sealed_on.contains(&candidate.0.name) {
                return Some(candidate);
            }
        }
    }

    fn order_claim(&mut self, candidate: Option<KeyCandidate>) -> CallStep {
        let replaced = self.claims.as_ref().and_then(|claims| {
            let replaced = claims.replaced.as_ref();
            replaced.map(|claim| claim.id)
        });
        let target = candidate.as_ref().map(|candidate| ProcessInstance {
            vm: candidate.vm.name.clone(),
            incarnation: candidate.incarnation,
        });
        let order = ClaimOrder {
            target,
            replaces: replaced,
            due: self.facts.late_at().min(self.facts.deadline),
        };
        self.state = CallState::Keyed(KeyState::Claiming(candidate));
        CallStep::Claim(order)
    }

    /// Asks the side process that `claim` names.
    fn follow(&mut self, claim: ClaimEntry, tables: &mut CallTables, now: ClockMillis) {
        let content = self.facts.key.as_ref().map(|key| key.content);
        if content != Some(claim.content) {
            let reason = "idempotency key belongs to another request".to_owned();
            self.end_unknown(reason, tables, now);
            return;
        }
        self.state = CallState::Keyed(KeyState::AskDue(claim, 0));
    }

    /// How long the router that made `claim` may need for its offer. Without this wait, two requests that arrive
    /// together seal each other's targets.
    fn offer_wait(&self, claim: &ClaimEntry, now: ClockMillis) -> SpanMillis {
        let age = now.since(claim.id.created_at());
        if age > self.facts.lateness {
            // Its router has given up.
            return SpanMillis::default();
        }
        OFFER_WAIT
    }

    fn give_up(
        &mut self,
        reason: &str,
        retry_after: Option<SpanMillis>,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let retry_after = retry_after.unwrap_or(RETRY_AFTER);
        let verdict = self.verdict_without_run();
        self.end(verdict, reason.to_owned(), Some(retry_after), tables, now);
    }

    fn end_unknown(&mut self, reason: String, tables: &mut CallTables, now: ClockMillis) {
        self.end(CallVerdict::Unknown, reason, None, tables, now);
    }
}
