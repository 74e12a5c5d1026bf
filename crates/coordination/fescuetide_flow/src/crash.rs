//! Requests that crash the upstreams that run them.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::SuspectSettings;
use fescuetide_limits::SuspectTable;
use indexmap::IndexMap;

/// Crashes after which a request is refused. One more than side processes allow: here a request can be part of a crash
/// by mere chance, since upstreams run suspects beside other requests.
const CRASH_LIMIT: u32 = 3;

/// How far apart the break of an attempt and the sign that its upstream is down may be noticed. Entries of upstreams
/// lapse after some seconds.
const CRASH_WINDOW: SpanMillis = SpanMillis::new(10_000);

/// Most broken attempts that are remembered, and most requests whose last crash is.
const BROKEN_LIMIT: usize = 1_024;

/// An attempt that broke off and whose upstream may be down.
#[derive(Clone, Debug)]
struct BrokenRun {
    vm: VmName,
    print: CrashFingerprint,
    began: ClockMillis,
    at: ClockMillis,
    is_counted: bool,
}

/// Tells requests that crash upstreams from those that were beside them.
///
/// Answers the load pattern of one request that comes again and again and takes one upstream after the other down. An
/// attempt that breaks off is part of a crash when its upstream refuses connections, begins a new life or loses its entry
/// at about that time. All requests that ran there become suspects; those that complete elsewhere are cleared. Of a
/// request that many callers send, only runs that began after its last crash count: upstreams that go down together took
/// it with them.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    suspects: SuspectTable,
    broken: VecDeque<BrokenRun>,
    /// When the last run of each suspect that counted broke off.
    last_crashes: IndexMap<CrashFingerprint, ClockMillis>,
    /// Whether a request was refused for the first time since the list was last taken.
    has_news: bool,
}

impl Default for CrashWatch {
    fn default() -> Self {
        let settings = SuspectSettings {
            crash_limit: CRASH_LIMIT,
            ..SuspectSettings::default()
        };
        Self {
            suspects: SuspectTable::new(settings),
            broken: VecDeque::new(),
            last_crashes: IndexMap::new(),
            has_news: false,
        }
    }
}

impl CrashWatch {
    /// Notes an attempt, sent at `began`, that broke off after the upstream may have begun to run it.
    pub(crate) fn note_broken(
        &mut self,
        vm: &VmName,
        print: CrashFingerprint,
        began: ClockMillis,
        now: ClockMillis,
    ) {
        self.broken.retain(|run| now.since(run.at) <= CRASH_WINDOW);
        if self.broken.len() >= BROKEN_LIMIT {
            self.broken.pop_front();
        }
        let is_known = self
            .broken
            .iter()
            .any(|run| run.vm == *vm && run.print == print);
        if is_known {
            // Two connections to one upstream that crashed are one crash.
            return;
        }
        self.broken.push_back(BrokenRun {
            vm: vm.clone(),
            print,
            began,
            at: now,
            is_counted: false,
        });
    }

    /// Notes that an upstream's entry is gone or tells of a new life. What breaks there from now on is another crash.
    pub(crate) fn note_gone(&mut self, vm: &VmName, now: ClockMillis) {
        self.note_down(vm, now);
        self.broken.retain(|run| run.vm != *vm);
    }

    /// Notes that an upstream refuses connections.
    pub(crate) fn note_down(&mut self, vm: &VmName, now: ClockMillis) {
        for run in &mut self.broken {
            if run.vm != *vm || run.is_counted || now.since(run.at) > CRASH_WINDOW {
                continue;
            }
            run.is_counted = true;
            let last = self.last_crashes.get(&run.print);
            if last.is_some_and(|last| run.began <= *last) {
                continue;
            }
            if self.last_crashes.len() >= BROKEN_LIMIT {
                self.last_crashes.shift_remove_index(0);
            }
            self.last_crashes.insert(run.print, run.at);
            self.suspects.note_crash(run.print, now);
            self.has_news |= self.suspects.refusal(run.print, now).is_some();
        }
    }

    /// Notes that an upstream ran a request to its end.
    pub(crate) fn note_completed(&mut self, print: CrashFingerprint) {
        self.suspects.note_completed(print);
    }

    /// How long a request is refused, `None` when it is not.
    pub(crate) fn refusal(&self, print: CrashFingerprint, now: ClockMillis) -> Option<SpanMillis> {
        self.suspects.refusal(print, now)
    }

    /// Takes in a request that another router refuses for `left`.
    pub(crate) fn learn(&mut self, print: CrashFingerprint, left: SpanMillis, now: ClockMillis) {
        self.suspects.learn(print, left, now);
    }

    /// All requests that are refused, if there are new ones since the last call.
    pub(crate) fn take_news(
        &mut self,
        now: ClockMillis,
    ) -> Option<Vec<(CrashFingerprint, SpanMillis)>> {
        std::mem::take(&mut self.has_news).then(|| self.suspects.list_refused(now))
    }
}
