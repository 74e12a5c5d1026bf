//! Detection of requests, and of parts of their prompts, that crash upstreams. A suspect is a request that was involved in a
//! crash, or a part of its prompt that other requests can have as well.

mod broken;
mod event;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::CompletionHistory;
use fescuetide_limits::CrashCount;
use fescuetide_limits::CrashEvidence;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::HistorySettings;
use fescuetide_limits::SuspectSettings;
use fescuetide_limits::SuspectTable;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::WorkRequest;

pub(crate) use broken::AttemptDoubt;
pub(crate) use broken::BrokenAttempts;
pub(crate) use broken::CrashRun;
pub use event::CrashEvent;
pub use event::SuspectKind;

/// Number of crashes after which a request is refused. One more than the default of [`SuspectSettings`]: without side
/// processes, which run at most one suspect at a time, suspects run concurrently, so a request can be involved in a
/// crash by coincidence.
const CRASH_LIMIT: u32 = 3;

/// Crashes within this time are one event.
const EVENT_TIME: SpanMillis = SpanMillis::new(100);

/// Maximum number of last crashes that are kept.
const LAST_CRASH_LIMIT: usize = 1_024;

/// Maximum number of prompt parts in each half of the history of completions. Requests have several.
const PART_HISTORY_LIMIT: usize = 2_048;

/// Maximum number of events that are kept until [`CrashTracker::take_events`] is called.
const EVENT_LIMIT: usize = 256;

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
///
/// Requests that are no two alike can have a part of their prompts in common that crashes upstreams. So upstreams that ended are
/// counted for each part as well, and requests with a part that is to blame are refused.
#[derive(Debug)]
pub(crate) struct CrashTracker {
    suspects: SuspectTable,
    completions: CompletionHistory,
    part_completions: CompletionHistory,
    broken: BrokenAttempts,
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
            part_completions: CompletionHistory::new(HistorySettings {
                half_limit: PART_HISTORY_LIMIT,
                ..HistorySettings::default()
            }),
            broken: BrokenAttempts::default(),
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
        self.broken.note(vm, run, AttemptDoubt::Break, now)
    }

    /// Records an attempt whose response ended with its connection. It is in doubt until the upstream gives a sign of life.
    /// Returns whether the upstream should be probed: the prompt has a part of which no completion is known.
    pub(crate) fn note_unconfirmed(
        &mut self,
        vm: &VmName,
        run: CrashRun,
        now: ClockMillis,
    ) -> bool {
        let mut parts = run.parts.iter();
        let has_unknown = parts.any(|part| !self.part_completions.contains(*part, now));
        self.broken.note(vm, run, AttemptDoubt::Completion, now) && has_unknown
    }

    /// Records a sign of life of an upstream in an attempt that started at `started_at`: it has survived the responses that
    /// ended before.
    pub(crate) fn note_alive(&mut self, vm: &VmName, started_at: ClockMillis, now: ClockMillis) {
        for run in self.broken.take_confirmed(vm, started_at) {
            self.note_sound(run.fingerprint, &run.parts, now);
        }
    }

    /// Records that an upstream left the list or has a new incarnation. Later broken attempts there belong to
    /// another crash.
    pub(crate) fn note_restart(&mut self, vm: &VmName, now: ClockMillis) {
        self.note_down(vm, now);
        self.broken.remove_upstream(vm);
    }

    /// Records that an upstream refuses connections.
    pub(crate) fn note_down(&mut self, vm: &VmName, now: ClockMillis) {
        self.count_crashes(vm, None, now);
    }

    /// Records that an upstream accepts connections.
    pub(crate) fn note_accepting(&mut self, vm: &VmName, now: ClockMillis) {
        self.note_alive(vm, now, now);
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
        self.broken.pending_at(vm, now)
    }

    /// Counts the crash of an upstream for the attempts that broke there, up to `before` if there is such a limit.
    fn count_crashes(&mut self, vm: &VmName, before: Option<ClockMillis>, now: ClockMillis) {
        for run in self.broken.take_ended(vm, before, now) {
            self.count_request(vm, &run, now);
            self.count_parts(vm, &run, now);
        }
    }

    /// Counts the crash of an upstream for the request of an attempt that broke there.
    fn count_request(&mut self, vm: &VmName, run: &CrashRun, now: ClockMillis) {
        let fingerprint = run.fingerprint;
        let is_counted = self.count_sequence(run, now);
        let is_end = !self.completions.contains(fingerprint, now)
            && self.suspects.note_end(fingerprint, run.life, now);
        if is_counted || is_end {
            self.note_counted(SuspectKind::Request, vm, fingerprint, now);
            return;
        }
        if let Some(evidence) = self.suspects.evidence(fingerprint, now) {
            self.push_event(CrashEvent::Coinciding {
                evidence,
                upstream: vm.clone(),
            });
        }
    }

    /// Counts a crash if it came after the others that are known of the request. Returns whether it did.
    fn count_sequence(&mut self, run: &CrashRun, now: ClockMillis) -> bool {
        let mut known = run.known;
        if let Some(last) = self.last_crashes.get(&run.fingerprint)
            && run.started_at.min(run.heard_at) >= last.at + EVENT_TIME
        {
            // The upstream of the last crash went down before this run started, and this one was up then. That may have
            // been found out only later.
            known = known.max(last.count);
        }
        if !self.suspects.note_crash(run.fingerprint, known, now) {
            return false;
        }
        if self.last_crashes.len() >= LAST_CRASH_LIMIT {
            self.last_crashes.shift_remove_index(0);
        }
        let last = LastCrash {
            at: run.heard_at.max(run.started_at),
            count: known.next(),
        };
        self.last_crashes.insert(run.fingerprint, last);
        true
    }

    /// Counts the end of an upstream for the prompt parts of an attempt that broke there. Only parts that have not completed
    /// recently are counted: the others are in many requests, some of which run on each upstream that goes down.
    fn count_parts(&mut self, vm: &VmName, run: &CrashRun, now: ClockMillis) {
        for part in run.parts.iter() {
            if self.part_completions.contains(*part, now) {
                continue;
            }
            if self.suspects.note_end(*part, run.life, now) {
                self.note_counted(SuspectKind::PromptPart, vm, *part, now);
            }
        }
    }

    fn note_counted(
        &mut self,
        kind: SuspectKind,
        vm: &VmName,
        fingerprint: CrashFingerprint,
        now: ClockMillis,
    ) {
        self.unreported.insert(fingerprint);
        let Some(evidence) = self.suspects.evidence(fingerprint, now) else {
            return;
        };
        self.push_event(CrashEvent::Counted {
            kind,
            evidence,
            upstream: vm.clone(),
            is_refused: evidence.counting_crashes() >= CRASH_LIMIT,
        });
    }

    /// Records that an upstream completed a request, which clears the request and the parts of its prompt of suspicion. If the
    /// attempt was silent before, its upstream did not go down.
    pub(crate) fn note_completed(&mut self, vm: &VmName, request: &WorkRequest, now: ClockMillis) {
        self.broken.remove_completed(vm, request.fingerprint);
        self.note_sound(request.fingerprint, &request.part_fingerprints, now);
    }

    /// Clears a request and the parts of its prompt, under which an upstream did not go down.
    fn note_sound(
        &mut self,
        fingerprint: CrashFingerprint,
        parts: &[CrashFingerprint],
        now: ClockMillis,
    ) {
        self.completions.note(fingerprint, now);
        self.clear(fingerprint, now);
        for part in parts {
            self.part_completions.note(*part, now);
            self.clear(*part, now);
        }
    }

    fn clear(&mut self, fingerprint: CrashFingerprint, now: ClockMillis) {
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

    /// The time for which a request is still refused, for its own crashes or for those of a part of its prompt, or `None` if it
    /// is not.
    pub(crate) fn refusal(&self, request: &WorkRequest, now: ClockMillis) -> Option<SpanMillis> {
        let refusal = self.suspects.refusal(request.fingerprint, now);
        refusal.or_else(|| self.blame(request, now))
    }

    fn blame(&self, request: &WorkRequest, now: ClockMillis) -> Option<SpanMillis> {
        let parts = request.part_fingerprints.iter();
        let suspects = std::iter::once(&request.fingerprint).chain(parts);
        if !suspects
            .clone()
            .any(|suspect| self.suspects.is_at_limit(*suspect, now))
        {
            return None;
        }
        let together: Vec<CrashFingerprint> = suspects.copied().collect();
        let blamed = together.iter();
        blamed
            .filter_map(|suspect| self.suspects.blame(*suspect, &together, now))
            .max()
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
        let has_completed = self.completions.contains(fingerprint, now)
            || self.part_completions.contains(fingerprint, now);
        if is_near_limit && has_completed {
            self.vouch(fingerprint, now);
        }
    }

    /// Clears a suspect of crashes that other gateways found, since it completed here recently.
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
