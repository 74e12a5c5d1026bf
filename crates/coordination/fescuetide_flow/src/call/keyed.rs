//! Processing of at-most-once requests: claim the key, offer the request, and follow claims of other requests.

use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_claims::ClaimEntry;
use fescuetide_claims::ProcessInstance;
use fescuetide_limits::AdmitRule;
use fescuetide_members::VmEntry;

use super::CallFlow;
use super::CallStep;
use super::CallTables;
use super::CallVerdict;
use super::CallView;
use super::ClaimCommand;
use super::DeclineReason;
use super::KeyQuery;
use super::claims::KeyCandidate;
use super::claims::KeyState;
use super::ending::RETRY_AFTER;
use super::state::CallState;
use super::state::RunningAttempt;

/// Maximum number of rounds of one request (see [`KeyState::RoundDue`]).
const CLAIM_ROUND_LIMIT: u32 = 8;

/// Maximum number of attempts to query a side process about a key.
const QUERY_LIMIT: u32 = 2;

/// How long a queried side process waits for the offer of the router that made the claim, before it seals the key.
/// Exceeds the time between reading back a claim and the arrival of its offer.
const OFFER_WAIT: SpanMillis = SpanMillis::new(500);

/// The reply of a registrar to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim was read back from the log as the current one.
    Claimed,
    /// Another claim is the current one.
    ClaimedByOther {
        /// The claim.
        claim: Box<ClaimEntry>,
        /// Whether the registrar had read the log to its end. If not, a later claim may have superseded it.
        caught_up: bool,
    },
    /// The log has no claim on the key. The new claim names a claim to supersede, which the log does not contain, so it
    /// was not appended.
    Free,
    /// The key is outside the retention window, so earlier claims are unknown.
    Unknown,
    /// The log could not be read or written in time. The claim may still be appended later.
    Unavailable {
        /// How long to wait before retrying.
        retry_after: SpanMillis,
        /// Whether the key is known to have no earlier claim.
        is_free: bool,
    },
}

/// The status of a key at the side process that a claim names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// The side process has an attempt with this key. Updates about it follow on the connection of the query.
    Joined(AttemptId),
    /// The side process has never seen the key and has now sealed it.
    NeverSeen,
    /// It is unknown whether the request ran, for the given reason.
    Unknown(String),
}

impl CallFlow {
    /// Handles the connection to the candidate, which is opened before the claim.
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

    /// Handles a failure to connect to the candidate.
    pub fn note_not_connected(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let CallState::Keyed(KeyState::Connecting(vm, _)) = &self.state else {
            return;
        };
        tables.breaker.note_failure(&vm.name, now);
        self.plan.note_unusable(&vm.name);
        self.state = CallState::Keyed(KeyState::CandidateDue);
    }

    /// Handles the registrar's reply to `claim`.
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
                // From now on, a run under this claim is possible.
                claims.evidence.note_claim();
                claims.current = Some(claim);
                self.state = CallState::Keyed(KeyState::OfferDue(candidate));
            }
            (ClaimAnswer::ClaimedByOther { claim, caught_up }, None)
                if claims.is_claim_to_supersede(&claim) =>
            {
                // Nothing runs under the claim to supersede. If the log was read to its end, no other claim followed
                // it, so the request has not run.
                claims.evidence.note_claim_not_replaced(caught_up);
                self.give_up("no other upstream is available", None, tables, now);
            }
            (ClaimAnswer::ClaimedByOther { claim, .. }, candidate) => {
                claims.pending = candidate.map(|candidate| (candidate.vm, candidate.rule));
                // The request that made this claim may have run, or may still run, under it.
                claims.evidence.note_claim();
                self.follow_claim(*claim, tables, now);
            }
            (ClaimAnswer::Free, None) => {
                // The log was read to its end and has no claim on the key, so nothing has run under it.
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
                // `is_free` proves that nothing has run, unless a claim on the key was found before.
                claims.evidence.note_unavailable(is_free);
                let reason = "claim log could not be read or written in time";
                self.give_up(reason, Some(retry_after), tables, now);
            }
            (ClaimAnswer::Unknown, _) => {
                let reason =
                    "idempotency key is too old, so it is unknown whether the request has run";
                self.end_unknown(reason.to_owned(), tables, now);
            }
            (ClaimAnswer::Free, Some(_)) => {
                let reason = "claim log lost a claim, so it is unknown whether the request has run";
                self.end_unknown(reason.to_owned(), tables, now);
            }
            (ClaimAnswer::Claimed, None) => {
                let reason = "claim log stored a claim for a look-up, so it is unknown whether the request has run";
                self.end_unknown(reason.to_owned(), tables, now);
            }
        }
    }

    /// Handles the key status that the side process named by the claim reported.
    pub fn handle_key_status(
        &mut self,
        status: KeyStatus,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let CallState::Keyed(KeyState::Querying(query, _)) = &self.state else {
            return;
        };
        let KeyQuery { vm, claim, .. } = (**query).clone();
        let Some(claims) = &mut self.claims else {
            return;
        };
        match status {
            KeyStatus::Joined(attempt) => {
                claims.current = Some(claim);
                self.history.note_sent(attempt, &vm.name, now);
                let fingerprint = self.metadata.fingerprint;
                self.state = CallState::Running(RunningAttempt {
                    vm,
                    rule: AdmitRule::OwnCap,
                    attempt,
                    is_counted: false,
                    known_crashes: tables.suspects().crashes(fingerprint, now),
                });
            }
            KeyStatus::NeverSeen => {
                claims.note_never_runs(claim, true);
                self.state = CallState::Keyed(KeyState::RoundDue);
            }
            KeyStatus::Unknown(reason) => self.end_unknown(reason, tables, now),
        }
    }

    /// Handles a failed query to the side process that the claim names.
    pub fn handle_query_failure(
        &mut self,
        reason: &str,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let CallState::Keyed(KeyState::Querying(query, tries)) = &self.state else {
            return;
        };
        let tries = tries + 1;
        if tries < QUERY_LIMIT {
            self.state = CallState::Keyed(KeyState::QueryDue(query.claim.clone(), tries));
            return;
        }
        let reason = format!("VM {} cannot be queried: {reason}", query.vm.name);
        self.end_unknown(reason, tables, now);
    }

    /// Starts the first round, or the next one after an attempt that did not run.
    pub(super) fn start_round(
        &mut self,
        allows_run: bool,
        tables: &mut CallTables,
        now: ClockMillis,
    ) {
        let Some(claims) = &mut self.claims else {
            return;
        };
        claims.allows_run = allows_run;
        self.state = CallState::Keyed(KeyState::RoundDue);
        let Some(claim) = claims.current.take() else {
            return;
        };
        match claims.decline_reason.take() {
            Some(reason) if reason.may_have_run() => self.follow_claim(claim, tables, now),
            // The side process has sealed the key, or has the attempt that it admitted and did not run. It would
            // decline the key again.
            Some(DeclineReason::Sealed) | None => claims.note_never_runs(claim, true),
            Some(_) => claims.note_never_runs(claim, false),
        }
    }

    /// Advances from `state`. Returns `None` if only the state has changed.
    pub(super) fn step_keyed(
        &mut self,
        state: KeyState,
        tables: &mut CallTables,
        view: &CallView<'_>,
        now: ClockMillis,
    ) -> Option<CallStep> {
        match state {
            KeyState::RoundDue => {
                self.begin_round(tables, now);
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
            KeyState::ClaimDue(candidate) => Some(self.create_claim(candidate)),
            KeyState::QueryDue(claim, tries) => {
                self.query_claim_target(claim, tries, tables, view, now)
            }
            KeyState::OfferDue(candidate) => {
                Some(self.offer(candidate.vm, candidate.rule, tables, now))
            }
            // The process is executing the last step, which is abandoned at the caller's deadline.
            KeyState::Connecting(..) | KeyState::Claiming(_) | KeyState::Querying(..) => {
                Some(CallStep::Wait(self.metadata.deadline))
            }
        }
    }

    fn query_claim_target(
        &mut self,
        claim: ClaimEntry,
        tries: u32,
        tables: &mut CallTables,
        view: &CallView<'_>,
        now: ClockMillis,
    ) -> Option<CallStep> {
        let Some(vm) = view.vms.get(&claim.target.vm).cloned() else {
            let reason = format!("VM {} is no longer listed", claim.target.vm);
            self.end_unknown(reason, tables, now);
            return None;
        };
        let wait = self.offer_wait(&claim, now);
        let query = Box::new(KeyQuery { vm, claim, wait });
        self.state = CallState::Keyed(KeyState::Querying(query.clone(), tries));
        Some(CallStep::QueryKey(query))
    }

    fn begin_round(&mut self, tables: &mut CallTables, now: ClockMillis) {
        let Some(claims) = &mut self.claims else {
            return;
        };
        if claims.rounds >= CLAIM_ROUND_LIMIT {
            self.give_up("too many upstreams declined", None, tables, now);
            return;
        }
        claims.rounds += 1;
        self.state = CallState::Keyed(KeyState::CandidateDue);
    }

    /// The next candidate whose VM is not excluded.
    fn next_key_candidate(&mut self) -> Option<(VmEntry, AdmitRule)> {
        let claims = self.claims.as_mut()?;
        if !claims.allows_run {
            return None;
        }
        loop {
            let candidate = match claims.pending.take() {
                Some(pending) => pending,
                None => self.plan.next_candidate()?,
            };
            if !claims.excluded_vms.contains(&candidate.0.name) {
                return Some(candidate);
            }
        }
    }

    fn create_claim(&mut self, candidate: Option<KeyCandidate>) -> CallStep {
        let superseded = self.claims.as_ref().and_then(|claims| {
            let claim = claims.to_supersede.as_ref();
            claim.map(|claim| claim.id)
        });
        let target = candidate.as_ref().map(|candidate| ProcessInstance {
            vm: candidate.vm.name.clone(),
            incarnation: candidate.incarnation,
        });
        let command = ClaimCommand {
            target,
            supersedes: superseded,
            due: self.metadata.late_at().min(self.metadata.deadline),
        };
        self.state = CallState::Keyed(KeyState::Claiming(candidate));
        CallStep::Claim(command)
    }

    /// Queries the side process that `claim` names.
    fn follow_claim(&mut self, claim: ClaimEntry, tables: &mut CallTables, now: ClockMillis) {
        let content = self.metadata.key.as_ref().map(|key| key.content);
        if content != Some(claim.request_hash) {
            let reason = "idempotency key belongs to another request".to_owned();
            self.end_unknown(reason, tables, now);
            return;
        }
        self.state = CallState::Keyed(KeyState::QueryDue(claim, 0));
    }

    /// How long the side process waits for the offer of the router that made `claim`. Without this wait, two requests
    /// with the same key that arrive together would have the key sealed before the offer of the other one arrives.
    fn offer_wait(&self, claim: &ClaimEntry, now: ClockMillis) -> SpanMillis {
        let age = now.since(claim.id.created_at());
        if age > self.metadata.latency_target {
            // The router that made the claim has stopped waiting for the log by now (see `ClaimCommand::due`), provided
            // that it applies the same latency target.
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
        let verdict = self.verdict_without_attempt();
        self.end(verdict, reason.to_owned(), Some(retry_after), tables, now);
    }

    fn end_unknown(&mut self, reason: String, tables: &mut CallTables, now: ClockMillis) {
        self.end(CallVerdict::Unknown, reason, None, tables, now);
    }
}
