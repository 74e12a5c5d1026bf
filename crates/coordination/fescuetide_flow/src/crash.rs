//! Detection of requests that crash upstreams. A suspect is a request that was involved in a crash.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::CompletionHistory;
use fescuetide_limits::CrashCount;
use fescuetide_limits::CrashEvidence;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::SuspectSettings;
use fescuetide_limits::SuspectTable;
use fescuetide_limits::UpstreamLife;
use indexmap::IndexMap;
use indexmap::IndexSet;

/// Number of crashes after which a request is refused. One more than the default of [`SuspectSettings`]: without side
/// processes, which run at most one suspect at a time, suspects run concurrently, so a request can be involved in a
/// crash by coincidence.
const CRASH_LIMIT: u32 = 3;

/// Crashes within this time are one event.
const EVENT_TIME: SpanMillis = SpanMillis::new(100);

/// Maximum time between a broken attempt and the detection that its upstream is down. A crashed upstream's entry in
/// the list of upstreams only expires after several seconds.
const CRASH_WINDOW: SpanMillis = SpanMillis::new(10_000);

/// Maximum number of broken attempts and of last crashes that are kept.
const BROKEN_LIMIT: usize = 1_024;

/// Maximum number of events that are kept until [`CrashTracker::take_events`] is called.
const EVENT_LIMIT: usize = 256;

/// A change of what is known about a request that may crash upstreams, for logs and counters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// The request was running on an upstream that went down.
    Counted {
        /// What is known now.
        evidence: CrashEvidence,
        /// The upstream.
        upstream: VmName,
        /// Whether the request is refused from now on.
        is_refused: bool,
    },
    /// The request was running on an upstream that went down, but this adds nothing to its crashes: it completes at other
    /// times, and the upstream went down together with another one that counts already.
    Coinciding {
        /// What is known.
        evidence: CrashEvidence,
        /// The upstream.
        upstream: VmName,
    },
    /// An upstream at which attempts broke accepts connections, so that no crash is counted for now.
    Accepting(VmName),
    /// The request completed, so that its earlier crashes no longer count.
    Cleared {
        /// What is known now.
        evidence: CrashEvidence,
        /// Whether gateways were about to refuse the request, or did so already.
        is_urgent: bool,
    },
    /// Another gateway reported crashes of the request, or that it completed.
    Learned(CrashEvidence),
    /// Another gateway reported crashes of a request that completed here recently, so they no longer count.
    Vouched(CrashEvidence),
}

/// An attempt as far as it matters for the detection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashRun {
    pub(crate) fingerprint: CrashFingerprint,
    /// The life of the upstream.
    pub(crate) life: UpstreamLife,
    /// The crashes of the request that were known when the attempt started.
    pub(crate) known: CrashCount,
    pub(crate) started_at: ClockMillis,
    /// When the upstream last gave a sign of life, as far as this gateway knows.
    pub(crate) heard_at: ClockMillis,
}

/// An attempt that broke and whose upstream may be down.
#[derive(Clone, Debug)]
struct BrokenAttempt {
    vm: VmName,
    run: CrashRun,
    at: ClockMillis,
    /// Whether the crash of its upstream has been handled.
    is_handled: bool,
}

/// The last crash of a request that this gateway counted.
#[derive(Clone, Copy, Debug)]
struct LastCrash {
    /// When the upstream probably went down.
    at: ClockMillis,
    count: CrashCount,
}

/// Distinguishes requests that crash upstreams from those that merely ran concurrently.
///
/// Limits the damage of a request that is retried repeatedly and crashes one upstream after another. A broken attempt
/// counts as part of a crash if its upstream refuses or does not answer connections, is replaced at its address, changes
/// its incarnation or leaves the list at about the same time. Gateways probe the upstream, so that this does not depend on
/// other requests or on the log. All requests that ran there become suspects; those that complete elsewhere are cleared.
///
/// Many callers may send the same request. A run only adds to the crashes that were known when it started, and to those
/// at this gateway that broke before. Otherwise, several upstreams that go down together for another reason would count
/// as several crashes of the request.
///
/// A request that comes to several gateways at once can also take several upstreams down together. So each upstream that ended
/// counts as well, unless the request completed recently, at this gateway or at another one that says so.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    suspects: SuspectTable,
    completions: CompletionHistory,
    broken: VecDeque<BrokenAttempt>,
    last_crashes: IndexMap<CrashFingerprint, LastCrash>,
    /// Requests about which this gateway knows something that it has not reported to the other gateways.
    unreported: IndexSet<CrashFingerprint>,
    events: Vec<CrashEvent>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        let settings = SuspectSettings {
            crash_limit: CRASH_LIMIT,
            event_time: EVENT_TIME,
            ..SuspectSettings::default()
        };
        Self {
            suspects: SuspectTable::new(settings),
            completions: CompletionHistory::default(),
            broken: VecDeque::new(),
            last_crashes: IndexMap::new(),
            unreported: IndexSet::new(),
            events: Vec::new(),
        }
    }
}

impl CrashTracker {
    /// Returns the crashes of a request that are known.
    pub(crate) fn known(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> CrashCount {
        self.suspects.crashes(fingerprint, now)
    }

    /// Records an attempt that broke or went silent after the upstream may have started to run it. Returns whether this is
    /// new, so that the upstream may have gone down just now.
    pub(crate) fn note_broken(&mut self, vm: &VmName, run: CrashRun, now: ClockMillis) -> bool {
        self.broken
            .retain(|attempt| now.since(attempt.at) <= CRASH_WINDOW);
        if self.broken.len() >= BROKEN_LIMIT {
            self.broken.pop_front();
        }
        let mut broken = self.broken.iter();
        let known = broken
            .position(|attempt| attempt.vm == *vm && attempt.run.fingerprint == run.fingerprint);
        if let Some(index) = known {
            if run.started_at <= self.broken[index].at {
                // Several broken connections to the same upstream are one crash.
                return false;
            }
            // The upstream was back under the same name and incarnation, or was up all the time.
            self.broken.remove(index);
        }
        self.broken.push_back(BrokenAttempt {
            vm: vm.clone(),
            run,
            at: now,
            is_handled: false,
        });
        true
    }

    /// Records that an upstream left the list or has a new incarnation. Later broken attempts there belong to
    /// another crash.
    pub(crate) fn note_restart(&mut self, vm: &VmName, now: ClockMillis) {
        self.note_down(vm, now);
        self.broken.retain(|attempt| attempt.vm != *vm);
    }

    /// Records that an upstream refuses connections.
    pub(crate) fn note_down(&mut self, vm: &VmName, now: ClockMillis) {
        self.count_crashes(vm, None, now);
    }

    /// Records that an upstream accepts connections.
    pub(crate) fn note_accepting(&mut self, vm: &VmName, now: ClockMillis) {
        if self.pending_at(vm, now).is_some() {
            self.push_event(CrashEvent::Accepting(vm.clone()));
        }
    }

    /// Records that an upstream does not answer. `heard_at` is when this gateway last received data from another one.
    /// Attempts that broke later do not count, since it may be the gateway that is cut off.
    pub(crate) fn note_unanswered(&mut self, vm: &VmName, heard_at: ClockMillis, now: ClockMillis) {
        self.count_crashes(vm, Some(heard_at), now);
    }

    /// Returns when the first attempt broke at an upstream that has not been found to be down.
    pub(crate) fn pending_at(&self, vm: &VmName, now: ClockMillis) -> Option<ClockMillis> {
        let mut broken = self.broken.iter();
        let pending = broken.find(|attempt| {
            attempt.vm == *vm && !attempt.is_handled && now.since(attempt.at) <= CRASH_WINDOW
        });
        pending.map(|attempt| attempt.at)
    }

    /// Counts the crash of an upstream for the attempts that broke there, up to `before` if there is such a limit.
    fn count_crashes(&mut self, vm: &VmName, before: Option<ClockMillis>, now: ClockMillis) {
        for index in 0..self.broken.len() {
            let attempt = &mut self.broken[index];
            if attempt.vm != *vm || attempt.is_handled || now.since(attempt.at) > CRASH_WINDOW {
                continue;
            }
            if before.is_some_and(|before| attempt.at >= before) {
                continue;
            }
            attempt.is_handled = true;
            let run = attempt.run;
            self.count_crash(vm, run, now);
        }
    }

    /// Counts the crash of an upstream on which `run` broke.
    fn count_crash(&mut self, vm: &VmName, run: CrashRun, now: ClockMillis) {
        let fingerprint = run.fingerprint;
        let mut known = run.known;
        if let Some(last) = self.last_crashes.get(&fingerprint)
            && run.started_at.min(run.heard_at) >= last.at + EVENT_TIME
        {
            // The upstream of the last crash went down before this run started, and this one was up then. That may have
            // been found out only later.
            known = known.max(last.count);
        }
        let is_counted = self.suspects.note_crash(fingerprint, known, now);
        let is_end = !self.completions.contains(fingerprint, now)
            && self.suspects.note_end(fingerprint, run.life, now);
        if !is_counted && !is_end {
            if let Some(evidence) = self.suspects.evidence(fingerprint, now) {
                self.push_event(CrashEvent::Coinciding {
                    evidence,
                    upstream: vm.clone(),
                });
            }
            return;
        }
        if is_counted {
            if self.last_crashes.len() >= BROKEN_LIMIT {
                self.last_crashes.shift_remove_index(0);
            }
            let last = LastCrash {
                at: run.heard_at.max(run.started_at),
                count: known.next(),
            };
            self.last_crashes.insert(fingerprint, last);
        }
        self.unreported.insert(fingerprint);
        let ends = self
            .suspects
            .evidence(fingerprint, now)
            .map_or(0, |evidence| evidence.ends.len());
        let is_refused =
            self.suspects.refusal(fingerprint, now).is_some() || ends >= CRASH_LIMIT as usize;
        if let Some(evidence) = self.suspects.evidence(fingerprint, now) {
            self.push_event(CrashEvent::Counted {
                evidence,
                upstream: vm.clone(),
                is_refused,
            });
        }
    }

    /// Records that an upstream completed a request, which clears the request of suspicion. If the attempt was silent
    /// before, its upstream did not go down.
    pub(crate) fn note_completed(
        &mut self,
        vm: &VmName,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) {
        self.broken.retain(|attempt| {
            attempt.is_handled || attempt.vm != *vm || attempt.run.fingerprint != fingerprint
        });
        self.completions.note(fingerprint, now);
        let cleared = self.suspects.note_completed(fingerprint);
        if cleared == 0 {
            return;
        }
        let is_urgent = cleared + 1 >= CRASH_LIMIT;
        // Of the requests that were running at a crash, most are sent by one caller and clear at the gateway that found
        // the crash. The others need to know about those that come to several gateways, and about those that one more
        // crash would make them refuse.
        let is_learned = !self.last_crashes.contains_key(&fingerprint);
        if is_learned || is_urgent {
            self.unreported.insert(fingerprint);
        }
        if let Some(evidence) = self.suspects.evidence(fingerprint, now) {
            self.push_event(CrashEvent::Cleared {
                evidence,
                is_urgent,
            });
        }
    }

    /// Whether a request was part of a crash and has not completed since.
    pub(crate) fn is_suspect(&self, fingerprint: CrashFingerprint, now: ClockMillis) -> bool {
        self.suspects.is_suspect(fingerprint, now)
    }

    /// The time for which a request is still refused, or `None` if it is not.
    pub(crate) fn refusal(
        &self,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) -> Option<SpanMillis> {
        let refusal = self.suspects.refusal(fingerprint, now);
        refusal.or_else(|| self.suspects.blame(fingerprint, &[fingerprint], now))
    }

    /// Adds what another gateway knows.
    pub(crate) fn merge(&mut self, evidence: CrashEvidence, now: ClockMillis) {
        if !self.suspects.merge(evidence, now) {
            return;
        }
        let fingerprint = evidence.fingerprint;
        let Some(evidence) = self.suspects.evidence(fingerprint, now) else {
            return;
        };
        self.push_event(CrashEvent::Learned(evidence));
        let is_near_limit = evidence.ends.len() + 1 >= CRASH_LIMIT as usize;
        if is_near_limit && self.completions.contains(fingerprint, now) {
            self.vouch(fingerprint, now);
        }
    }

    /// Clears a request of crashes that other gateways found, since it completed here recently.
    fn vouch(&mut self, fingerprint: CrashFingerprint, now: ClockMillis) {
        if self.suspects.note_completed(fingerprint) == 0 {
            return;
        }
        self.unreported.insert(fingerprint);
        if let Some(evidence) = self.suspects.evidence(fingerprint, now) {
            self.push_event(CrashEvent::Vouched(evidence));
        }
    }

    /// Returns what this gateway has found since the last call.
    pub(crate) fn take_unreported(&mut self, now: ClockMillis) -> Vec<CrashEvidence> {
        let mut reports = Vec::new();
        for fingerprint in std::mem::take(&mut self.unreported) {
            reports.extend(self.suspects.evidence(fingerprint, now));
        }
        reports
    }

    /// Returns what is known about the requests that are most suspect, including what other gateways have found.
    pub(crate) fn list_evidence(&self, now: ClockMillis) -> Vec<CrashEvidence> {
        self.suspects.list_evidence(now)
    }

    /// Returns the events since the last call. If there were more than [`EVENT_LIMIT`], the newest are missing.
    pub(crate) fn take_events(&mut self) -> Vec<CrashEvent> {
        std::mem::take(&mut self.events)
    }

    fn push_event(&mut self, event: CrashEvent) {
        if self.events.len() < EVENT_LIMIT {
            self.events.push(event);
        }
    }
}
