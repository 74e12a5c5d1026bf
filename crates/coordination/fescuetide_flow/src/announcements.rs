//! What upstreams announce in their responses about the time after them.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_limits::RequestPause;
use indexmap::IndexMap;

/// Announcements of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamAnnouncement {
    incarnation: ProcessIncarnation,
    pause: RequestPause,
}

impl UpstreamAnnouncement {
    fn new(incarnation: ProcessIncarnation) -> Self {
        Self {
            incarnation,
            pause: RequestPause::default(),
        }
    }
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
    /// Records that an upstream wants no requests from this gateway for `pause`.
    pub(crate) fn note_pause(
        &mut self,
        entry: &UpstreamEntry,
        pause: SpanMillis,
        now: ClockMillis,
    ) {
        self.expire(now);
        let announcement = self
            .announcements
            .entry(entry.name.clone())
            .or_insert_with(|| UpstreamAnnouncement::new(entry.incarnation));
        if announcement.incarnation != entry.incarnation {
            *announcement = UpstreamAnnouncement::new(entry.incarnation);
        }
        announcement.pause.extend(pause, now);
    }

    /// When the pause of an upstream ends, or `None` if it accepts requests.
    pub(crate) fn paused_until(
        &self,
        entry: &UpstreamEntry,
        now: ClockMillis,
    ) -> Option<ClockMillis> {
        let announcement = self.announcements.get(&entry.name)?;
        if announcement.incarnation != entry.incarnation {
            return None;
        }
        announcement.pause.end(now)
    }

    /// Whether any upstream may be paused.
    pub(crate) fn has_pauses(&self, now: ClockMillis) -> bool {
        let mut announcements = self.announcements.values();
        announcements.any(|announcement| announcement.pause.end(now).is_some())
    }

    fn expire(&mut self, now: ClockMillis) {
        self.announcements
            .retain(|_, announcement| announcement.pause.end(now).is_some());
    }
}
