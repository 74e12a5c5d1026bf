//! Attempts that ended in doubt, until it is known whether their upstreams went down.

use std::collections::VecDeque;
use std::sync::Arc;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_limits::CrashCount;
use fescuetide_limits::CrashFingerprint;

/// Maximum time between a broken attempt and the detection that its upstream is down. A crashed upstream's entry in
/// the list of upstreams only expires after several seconds.
const CRASH_WINDOW: SpanMillis = SpanMillis::new(10_000);

/// The same for a response that ended with its connection. It is short, since an upstream that leaves as planned may do so some
/// seconds after its last response.
const COMPLETION_WINDOW: SpanMillis = SpanMillis::new(1_000);

/// Maximum number of attempts that are kept.
const ATTEMPT_LIMIT: usize = 1_024;

/// An attempt as far as it matters for the detection.
#[derive(Clone, Debug)]
pub(crate) struct CrashRun {
    pub(crate) fingerprint: CrashFingerprint,
    /// The parts of its prompt that other requests can have as well.
    pub(crate) parts: Arc<[CrashFingerprint]>,
    /// The life of the upstream.
    pub(crate) life: UpstreamLife,
    /// The crashes of the request that were known when the attempt started.
    pub(crate) known: CrashCount,
    pub(crate) started_at: ClockMillis,
    /// When the upstream last gave a sign of life, as far as this gateway knows.
    pub(crate) heard_at: ClockMillis,
}

/// Why an attempt is in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptDoubt {
    /// It broke or is silent.
    Break,
    /// Its response ended with the connection. If the upstream is up, the request has completed.
    Completion,
}

/// An attempt that ended in doubt and whose upstream may be down.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    vm: VmName,
    run: CrashRun,
    doubt: AttemptDoubt,
    at: ClockMillis,
    /// Whether the crash of its upstream has been handled.
    is_handled: bool,
}

impl BrokenAttempt {
    fn is_pending(&self, vm: &VmName, now: ClockMillis) -> bool {
        let window = match self.doubt {
            AttemptDoubt::Break => CRASH_WINDOW,
            AttemptDoubt::Completion => COMPLETION_WINDOW,
        };
        self.vm == *vm && !self.is_handled && now.since(self.at) <= window
    }
}

/// The attempts that ended in doubt recently, oldest first.
#[derive(Debug, Default)]
pub(crate) struct BrokenAttempts {
    attempts: VecDeque<BrokenAttempt>,
}

impl BrokenAttempts {
    /// Adds an attempt that ended in doubt. Returns whether this is new, so that the upstream may have gone down just
    /// now.
    pub(crate) fn note(
        &mut self,
        vm: &VmName,
        run: CrashRun,
        doubt: AttemptDoubt,
        now: ClockMillis,
    ) -> bool {
        self.attempts
            .retain(|attempt| now.since(attempt.at) <= CRASH_WINDOW);
        if self.attempts.len() >= ATTEMPT_LIMIT {
            self.attempts.pop_front();
        }
        let mut attempts = self.attempts.iter();
        let known = attempts
            .position(|attempt| attempt.vm == *vm && attempt.run.fingerprint == run.fingerprint);
        if let Some(index) = known {
            if run.started_at <= self.attempts[index].at {
                // Several broken connections to the same upstream are one crash.
                return false;
            }
            // The upstream was back under the same name and incarnation, or was up all the time.
            self.attempts.remove(index);
        }
        self.attempts.push_back(BrokenAttempt {
            vm: vm.clone(),
            run,
            doubt,
            at: now,
            is_handled: false,
        });
        true
    }

    /// Removes the attempts at an upstream, which has a new incarnation.
    pub(crate) fn remove_upstream(&mut self, vm: &VmName) {
        self.attempts.retain(|attempt| attempt.vm != *vm);
    }

    /// Removes an attempt that was silent and has completed after all.
    pub(crate) fn remove_completed(&mut self, vm: &VmName, fingerprint: CrashFingerprint) {
        self.attempts.retain(|attempt| {
            attempt.is_handled || attempt.vm != *vm || attempt.run.fingerprint != fingerprint
        });
    }

    /// Returns when the first attempt broke at an upstream that has not been found to be down.
    pub(crate) fn pending_at(&self, vm: &VmName, now: ClockMillis) -> Option<ClockMillis> {
        let mut attempts = self.attempts.iter();
        let pending = attempts.find(|attempt| attempt.is_pending(vm, now));
        pending.map(|attempt| attempt.at)
    }

    /// Returns the runs that ended with an upstream, once. Those that broke at `before` or later do not count, if there is
    /// such a limit.
    pub(crate) fn take_ended(
        &mut self,
        vm: &VmName,
        before: Option<ClockMillis>,
        now: ClockMillis,
    ) -> Vec<CrashRun> {
        let mut runs = Vec::new();
        for attempt in &mut self.attempts {
            if !attempt.is_pending(vm, now) {
                continue;
            }
            if before.is_some_and(|before| attempt.at >= before) {
                continue;
            }
            attempt.is_handled = true;
            runs.push(attempt.run.clone());
        }
        runs
    }

    /// Removes and returns the runs that have completed, since their upstream gave a sign of life in an attempt that started
    /// later.
    pub(crate) fn take_confirmed(&mut self, vm: &VmName, started_at: ClockMillis) -> Vec<CrashRun> {
        let is_confirmed = |attempt: &BrokenAttempt| {
            attempt.doubt == AttemptDoubt::Completion
                && !attempt.is_handled
                && attempt.vm == *vm
                && attempt.at < started_at
        };
        let attempts = self.attempts.iter();
        let confirmed = attempts.filter(|attempt| is_confirmed(attempt));
        let runs: Vec<CrashRun> = confirmed.map(|attempt| attempt.run.clone()).collect();
        if !runs.is_empty() {
            self.attempts.retain(|attempt| !is_confirmed(attempt));
        }
        runs
    }
}
