//! Decision which of several suspects ended upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;

use crate::CrashFingerprint;
use crate::SuspectTable;
use crate::suspects::SuspectEntry;

impl SuspectTable {
    /// Returns whether as many upstreams ended under a suspect as the limit says, so that it may be to blame.
    pub fn is_at_limit(&self, suspect: CrashFingerprint, now: ClockMillis) -> bool {
        let entry = self.live(suspect, now);
        entry.is_some_and(|entry| entry.limit_at.is_some())
    }

    /// Returns the remaining time for which a suspect is blamed for the upstreams that ended under it, or `None` if it is not.
    ///
    /// Upstreams that end together do so under many requests. So a suspect has some time to complete first. An end counts only
    /// if no other suspect explains it: one under which as many or more upstreams ended, among them this one. `together` are
    /// the suspects of one request, which do not explain each other's ends, since that request has all of them.
    pub fn blame(
        &self,
        suspect: CrashFingerprint,
        together: &[CrashFingerprint],
        now: ClockMillis,
    ) -> Option<SpanMillis> {
        let entry = self.live(suspect, now)?;
        let grace_end = entry.limit_at? + self.settings.end_grace;
        if now < grace_end {
            return None;
        }
        let mut others = Vec::new();
        for (fingerprint, other) in &self.entries {
            let is_other = !together.contains(fingerprint) && now < other.until;
            if is_other && other.ends.len() >= entry.ends.len() {
                others.push(other);
            }
        }
        let lives = entry.ends.lives().iter();
        let unexplained = lives.filter(|life| !is_explained(**life, &others)).count();
        (unexplained >= self.settings.crash_limit as usize).then(|| entry.until.since(now))
    }
}

fn is_explained(life: UpstreamLife, others: &[&SuspectEntry]) -> bool {
    others.iter().any(|other| other.ends.contains(life))
}
