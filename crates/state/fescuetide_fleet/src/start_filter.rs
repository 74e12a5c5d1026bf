//! Upstreams that a starting gateway does not use yet.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::UpstreamEntry;
use crate::UpstreamState;

/// For so long after its start, a gateway believes a peer over the first listing of the log. Upstreams that are alive write
/// their entries again within this time after the log has come back from an older copy, and it removes the others.
const START_PERIOD: SpanMillis = SpanMillis::new(5_000);

/// Compares the first listing of the log with what a peer knows.
///
/// The log may have come back from an older copy just before this gateway started. Then it lists upstreams that have left
/// meanwhile as ready. A gateway that runs knows better, but this one has not seen them leave. So upstreams that a peer does
/// not have, or knows to drain, are held back until their entry changes or the time is over. They are used at once if their
/// pool would have no ready upstream otherwise.
///
/// ```
/// use fescuetide_base::ClockMillis;
/// use fescuetide_fleet::StartFilter;
///
/// let mut filter = StartFilter::new(ClockMillis::new(0));
/// assert!(filter.note_listing(&[], ClockMillis::new(10)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct StartFilter {
    started_at: ClockMillis,
    /// The first listing of the log.
    first: Option<EntryIndex>,
    latest: Vec<UpstreamEntry>,
    peer: Option<EntryIndex>,
    held_count: usize,
}

type EntryIndex = IndexMap<VmName, UpstreamEntry>;

fn index_entries(entries: &[UpstreamEntry]) -> EntryIndex {
    let mut index = EntryIndex::with_capacity(entries.len());
    for entry in entries {
        index.insert(entry.name.clone(), entry.clone());
    }
    index
}

impl StartFilter {
    /// Creates the filter of a gateway that starts now.
    pub fn new(now: ClockMillis) -> Self {
        Self {
            started_at: now,
            first: None,
            latest: Vec::new(),
            peer: None,
            held_count: 0,
        }
    }

    /// Records a listing of the log and returns the upstreams to use.
    pub fn note_listing(
        &mut self,
        entries: &[UpstreamEntry],
        now: ClockMillis,
    ) -> Vec<UpstreamEntry> {
        if self.is_over(now) {
            // Nothing is held back any more, and `finish` must not bring an earlier listing back.
            self.held_count = 0;
            return entries.to_vec();
        }
        self.first.get_or_insert_with(|| index_entries(entries));
        self.latest = entries.to_vec();
        self.select()
    }

    /// Records the upstreams that a peer knows. Returns the upstreams to use, if the log was listed before.
    pub fn note_peer(
        &mut self,
        entries: &[UpstreamEntry],
        now: ClockMillis,
    ) -> Option<Vec<UpstreamEntry>> {
        if self.is_over(now) || entries.is_empty() {
            return None;
        }
        self.peer = Some(index_entries(entries));
        self.first.is_some().then(|| self.select())
    }

    /// Returns all upstreams of the latest listing once the time is over, if some were held back.
    pub fn finish(&mut self, now: ClockMillis) -> Option<Vec<UpstreamEntry>> {
        if !self.is_over(now) {
            return None;
        }
        let held = std::mem::take(&mut self.held_count);
        let latest = std::mem::take(&mut self.latest);
        self.first = None;
        self.peer = None;
        (held > 0).then_some(latest)
    }

    /// Number of upstreams in the latest listing that are held back.
    pub fn held_count(&self) -> usize {
        self.held_count
    }

    fn is_over(&self, now: ClockMillis) -> bool {
        now.since(self.started_at) >= START_PERIOD
    }

    fn select(&mut self) -> Vec<UpstreamEntry> {
        let mut usable_pools = IndexSet::new();
        for entry in &self.latest {
            if entry.state == UpstreamState::Ready && !self.is_doubtful(entry) {
                usable_pools.insert(&entry.pool);
            }
        }
        let mut selected = Vec::with_capacity(self.latest.len());
        for entry in &self.latest {
            if !self.is_doubtful(entry) || !usable_pools.contains(&entry.pool) {
                selected.push(entry.clone());
            }
        }
        self.held_count = self.latest.len() - selected.len();
        selected
    }

    /// Whether an entry is ready in the log since before the start of this gateway, while the peer does not know it as ready.
    fn is_doubtful(&self, entry: &UpstreamEntry) -> bool {
        let Some(peer) = &self.peer else {
            return false;
        };
        let first = self.first.as_ref().and_then(|first| first.get(&entry.name));
        let is_ready = entry.state == UpstreamState::Ready;
        is_ready && first == Some(entry) && !is_known_ready(peer, entry)
    }
}

/// Whether a peer knows this incarnation of an upstream as ready.
fn is_known_ready(peer: &EntryIndex, entry: &UpstreamEntry) -> bool {
    peer.get(&entry.name).is_some_and(|known| {
        known.incarnation == entry.incarnation && known.state == UpstreamState::Ready
    })
}
