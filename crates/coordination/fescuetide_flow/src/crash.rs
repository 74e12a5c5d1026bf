//! Detection of requests that crash upstreams. A suspect is a request that was involved in a crash.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::SuspectSettings;
use fescuetide_limits::SuspectTable;
use indexmap::IndexMap;

/// Number of crashes after which a request is refused. One more than the default of [`SuspectSettings`]: without side
/// processes, which run at most one suspect at a time, suspects run concurrently, so a request can be involved in a
/// crash by coincidence.
const CRASH_LIMIT: u32 = 3;

/// Maximum time between a broken attempt and the detection that its upstream is down. A crashed upstream's entry in
/// the list of upstreams only expires after several seconds.
const CRASH_WINDOW: SpanMillis = SpanMillis::new(10_000);

/// Maximum number of broken attempts and of last crash times that are kept.
const BROKEN_LIMIT: usize = 1_024;

/// Maximum number of events that are kept until [`CrashTracker::take_events`] is called.
const EVENT_LIMIT: usize = 256;

/// A change of what is known about a request that may crash upstreams, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// The request was running on an upstream that went down.
    Counted {
        /// Identifies the request.
        fingerprint: CrashFingerprint,
        /// The upstream.
        upstream: VmName,
        /// Whether the request is refused from now on.
        is_refused: bool,
    },
    /// The request completed, so that its earlier crashes no longer count.
    Cleared(CrashFingerprint),
    /// Another gateway refuses the request.
    Learned(CrashFingerprint),
}

/// An attempt that broke and whose upstream may be down.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    vm: VmName,
    fingerprint: CrashFingerprint,
    started_at: ClockMillis,
    at: ClockMillis,
    /// Whether the crash of its upstream has been handled.
    is_handled: bool,
}

/// Distinguishes requests that crash upstreams from those that merely ran concurrently.
///
/// Limits the damage of a request that is retried repeatedly and crashes one upstream after another. A broken attempt
/// counts as part of a crash if its upstream refuses connections, changes its incarnation or leaves the list at about
/// the same time. All requests that ran there become suspects; those that complete elsewhere are cleared.
///
/// Many callers may send the same request. Of its runs, one only counts if it started after the last counted one broke.
/// Otherwise, several upstreams that go down together for another reason would count as several crashes of the request.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    suspects: SuspectTable,
    broken: VecDeque<BrokenAttempt>,
    /// For each suspect, when its last run that was counted as a crash broke.
    last_crashes: IndexMap<CrashFingerprint, ClockMillis>,
    /// Whether a request that is now refused crashed an upstream since
    /// [`take_new_refusals`](Self::take_new_refusals) was last called.
    has_new_refusals: bool,
    events: Vec<CrashEvent>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        let settings = SuspectSettings {
            crash_limit: CRASH_LIMIT,
            ..SuspectSettings::default()
        };
        Self {
            suspects: SuspectTable::new(settings),
            broken: VecDeque::new(),
            last_crashes: IndexMap::new(),
            has_new_refusals: false,
            events: Vec::new(),
        }
    }
}

impl CrashTracker {
    /// Records an attempt, started at `started_at`, that broke after the upstream may have started to run it.
    pub(crate) fn note_broken(
        &mut self,
        vm: &VmName,
        fingerprint: CrashFingerprint,
        started_at: ClockMillis,
        now: ClockMillis,
    ) {
        self.broken
            .retain(|attempt| now.since(attempt.at) <= CRASH_WINDOW);
        if self.broken.len() >= BROKEN_LIMIT {
            self.broken.pop_front();
        }
        let is_known = self
            .broken
            .iter()
            .any(|attempt| attempt.vm == *vm && attempt.fingerprint == fingerprint);
        if is_known {
            // Several broken connections to the same upstream are one crash.
            return;
        }
        self.broken.push_back(BrokenAttempt {
            vm: vm.clone(),
            fingerprint,
            started_at,
            at: now,
            is_handled: false,
        });
    }

    /// Records that an upstream left the list or has a new incarnation. Later broken attempts there belong to
    /// another crash.
    pub(crate) fn note_restart(&mut self, vm: &VmName, now: ClockMillis) {
        self.note_down(vm, now);
        self.broken.retain(|attempt| attempt.vm != *vm);
    }

    /// Records that an upstream refuses connections.
    pub(crate) fn note_down(&mut self, vm: &VmName, now: ClockMillis) {
        for attempt in &mut self.broken {
            if attempt.vm != *vm || attempt.is_handled || now.since(attempt.at) > CRASH_WINDOW {
                continue;
            }
            attempt.is_handled = true;
            let last = self.last_crashes.get(&attempt.fingerprint);
            if last.is_some_and(|last| attempt.started_at <= *last) {
                continue;
            }
            if self.last_crashes.len() >= BROKEN_LIMIT {
                self.last_crashes.shift_remove_index(0);
            }
            self.last_crashes.insert(attempt.fingerprint, attempt.at);
            self.suspects.note_crash(attempt.fingerprint, now);
            let is_refused = self.suspects.refusal(attempt.fingerprint, now).is_some();
            self.has_new_refusals |= is_refused;
            push_event(
                &mut self.events,
                CrashEvent::Counted {
                    fingerprint: attempt.fingerprint,
                    upstream: vm.clone(),
                    is_refused,
                },
            );
        }
    }

    /// Records that an upstream completed a request, which clears the request of suspicion.
    pub(crate) fn note_completed(&mut self, fingerprint: CrashFingerprint, now: ClockMillis) {
        let is_cleared = self.suspects.is_suspect(fingerprint, now)
            && self.suspects.refusal(fingerprint, now).is_none();
        if is_cleared {
            push_event(&mut self.events, CrashEvent::Cleared(fingerprint));
        }
        self.suspects.note_completed(fingerprint);
    }

    /// The time for which a request is still refused, or `None` if it is not.
    pub(crate) fn refusal(
        &self,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) -> Option<SpanMillis> {
        self.suspects.refusal(fingerprint, now)
    }

    /// Adds a request that another gateway still refuses, for the remaining time `left`.
    pub(crate) fn learn(
        &mut self,
        fingerprint: CrashFingerprint,
        left: SpanMillis,
        now: ClockMillis,
    ) {
        if self.suspects.refusal(fingerprint, now).is_none() {
            push_event(&mut self.events, CrashEvent::Learned(fingerprint));
        }
        self.suspects.learn(fingerprint, left, now);
    }

    /// Returns the events since the last call. If there were more than [`EVENT_LIMIT`], the newest are missing.
    pub(crate) fn take_events(&mut self) -> Vec<CrashEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns all refused requests if there are new ones since the last call.
    pub(crate) fn take_new_refusals(
        &mut self,
        now: ClockMillis,
    ) -> Option<Vec<(CrashFingerprint, SpanMillis)>> {
        std::mem::take(&mut self.has_new_refusals).then(|| self.suspects.list_refused(now))
    }
}

fn push_event(events: &mut Vec<CrashEvent>, event: CrashEvent) {
    if events.len() < EVENT_LIMIT {
        events.push(event);
    }
}
