//! What upstreams announce in their responses about the time after them.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use indexmap::IndexMap;

/// The longest pause that is kept. Longer ones are cut, so that a wrong value does not exclude an upstream for good.
const MAX_PAUSE: SpanMillis = SpanMillis::new(600_000);

/// Announcements of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamAnnouncement {
    incarnation: ProcessIncarnation,
    /// When the upstream accepts requests again.
    paused_until: ClockMillis,
}

/// The announcements of all upstreams.
///
/// They outlive the upstreams' entries: an entry that is removed and written again names the same incarnation, which does
/// not know that it was missing.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnnouncementTable {
    announcements: IndexMap<VmName, UpstreamAnnouncement>,
}

impl AnnouncementTable {
    /// Records that an upstream wants no requests from this gateway for `pause`. An earlier pause that ends later stays.
    pub(crate) fn note_pause(
        &mut self,
        entry: &UpstreamEntry,
        pause: SpanMillis,
        now: ClockMillis,
    ) {
        self.expire(now);
        let until = now + pause.min(MAX_PAUSE);
        let until = until.max(self.paused_until(entry, now).unwrap_or(until));
        let announcement = UpstreamAnnouncement {
            incarnation: entry.incarnation,
            paused_until: until,
        };
        self.announcements.insert(entry.name.clone(), announcement);
    }

    /// When the pause of an upstream ends, or `None` if it accepts requests.
    pub(crate) fn paused_until(
        &self,
        entry: &UpstreamEntry,
        now: ClockMillis,
    ) -> Option<ClockMillis> {
        let announcement = self.announcements.get(&entry.name)?;
        let is_paused =
            announcement.incarnation == entry.incarnation && now < announcement.paused_until;
        is_paused.then_some(announcement.paused_until)
    }

    /// Whether any upstream may be paused.
    pub(crate) fn has_pauses(&self, now: ClockMillis) -> bool {
        let mut announcements = self.announcements.values();
        announcements.any(|announcement| now < announcement.paused_until)
    }

    fn expire(&mut self, now: ClockMillis) {
        self.announcements
            .retain(|_, announcement| now < announcement.paused_until);
    }
}
