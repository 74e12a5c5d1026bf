//! What upstreams announce in their responses about the time after them.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::RequestPause;
use indexmap::IndexMap;

/// How long an upstream that announced that it leaves counts as leaving, unless it announces it again. It ends much sooner.
const LEAVING_RETENTION: SpanMillis = SpanMillis::new(600_000);

/// What an upstream announces in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpstreamAnnouncement {
    /// For how long it wants no requests from this gateway.
    pub pause: Option<SpanMillis>,
    /// Whether it leaves: it finishes its work, takes no new one, and ends.
    pub is_leaving: bool,
    /// How many requests per second it takes from all gateways together, `None` if it names no limit.
    pub rate_limit: Option<RequestRate>,
}

/// What one incarnation of an upstream has announced.
#[derive(Clone, Copy, Debug)]
struct AnnouncedState {
    incarnation: ProcessIncarnation,
    pause: RequestPause,
    leaving_until: ClockMillis,
}

impl AnnouncedState {
    fn new(incarnation: ProcessIncarnation) -> Self {
        Self {
            incarnation,
            pause: RequestPause::default(),
            leaving_until: ClockMillis::default(),
        }
    }

    fn is_in_force(&self, now: ClockMillis) -> bool {
        now < self.leaving_until || self.pause.end(now).is_some()
    }
}

/// The announcements of all upstreams.
///
/// They outlive the upstreams' entries: an entry that is removed and written again names the same incarnation, which does
/// not know that it was missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnnouncementTable {
    states: IndexMap<VmName, AnnouncedState>,
}

impl AnnouncementTable {
    /// Records an announcement of an upstream, whose entry may have been removed since it got the request. Returns whether the
    /// upstream was not known to leave and does. One of an earlier incarnation is ignored.
    pub(crate) fn note(
        &mut self,
        vm: &VmName,
        incarnation: ProcessIncarnation,
        announcement: UpstreamAnnouncement,
        now: ClockMillis,
    ) -> bool {
        self.states.retain(|_, state| state.is_in_force(now));
        let state = self
            .states
            .entry(vm.clone())
            .or_insert_with(|| AnnouncedState::new(incarnation));
        if incarnation < state.incarnation {
            return false;
        }
        if incarnation > state.incarnation {
            *state = AnnouncedState::new(incarnation);
        }
        if let Some(pause) = announcement.pause {
            state.pause.extend(pause, now);
        }
        let is_news = announcement.is_leaving && now >= state.leaving_until;
        if announcement.is_leaving {
            state.leaving_until = now + LEAVING_RETENTION;
        }
        is_news
    }

    /// When the pause of an upstream ends, or `None` if it has none.
    pub(crate) fn paused_until(
        &self,
        entry: &UpstreamEntry,
        now: ClockMillis,
    ) -> Option<ClockMillis> {
        self.state_of(entry)?.pause.end(now)
    }

    /// Whether an upstream has announced that it leaves.
    pub(crate) fn is_leaving(&self, entry: &UpstreamEntry, now: ClockMillis) -> bool {
        self.state_of(entry)
            .is_some_and(|state| now < state.leaving_until)
    }

    /// Whether any upstream may be paused.
    pub(crate) fn has_pauses(&self, now: ClockMillis) -> bool {
        let mut states = self.states.values();
        states.any(|state| state.pause.end(now).is_some())
    }

    fn state_of(&self, entry: &UpstreamEntry) -> Option<&AnnouncedState> {
        let state = self.states.get(&entry.name)?;
        (state.incarnation == entry.incarnation).then_some(state)
    }
}
