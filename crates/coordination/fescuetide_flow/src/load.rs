//! Load of an upstream as known to this gateway.

use std::collections::VecDeque;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;

/// How long a load report remains valid.
const REPORT_WINDOW: SpanMillis = SpanMillis::new(1_500);

/// How many digests a report is part of, unless a newer one replaces it. Each digest goes to one gateway, which passes it on
/// as often, so a report reaches the fleet with high probability although datagrams are lost.
const DIGESTS_PER_REPORT: u8 = 4;

/// Requests at an upstream, as a multiple of its slots, above which a report is not plausible. Upstreams decline requests
/// long before.
const PLAUSIBLE_SLOT_MULTIPLE: u32 = 16;

/// The load that an upstream reported with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrently running requests.
    pub slots: u32,
}

impl LoadReport {
    /// Running and queued requests.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// One entry of a load digest: the load that an upstream reported to some gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEntry {
    /// The upstream.
    pub key: UpstreamLife,
    /// Running and queued requests of all gateways.
    pub load: u32,
    /// Time since the upstream reported it.
    pub age: SpanMillis,
}

/// The load of an upstream: the exact number of this gateway's requests, and those of other gateways as last reported.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamLoad {
    own: u32,
    others: u32,
    /// Running and queued requests of all gateways in the last report.
    reported: u32,
    reported_at: Option<ClockMillis>,
    /// In how many more digests the report is included.
    digests_left: u8,
    /// When this gateway recently sent requests there, oldest first. A report that is passed on by other gateways does not
    /// include the latest ones.
    sent_at: VecDeque<ClockMillis>,
}

impl UpstreamLoad {
    pub(crate) fn add(&mut self, now: ClockMillis) {
        self.own += 1;
        while let Some(oldest) = self.sent_at.front()
            && now.since(*oldest) >= REPORT_WINDOW
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    pub(crate) fn remove(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Applies a load report that this gateway received itself. It includes this gateway's own requests. `is_shared` is
    /// whether other gateways are told.
    pub(crate) fn note_report(&mut self, report: LoadReport, is_shared: bool, now: ClockMillis) {
        self.reported = report.total();
        self.others = self.reported.saturating_sub(self.own);
        self.reported_at = Some(now);
        self.digests_left = if is_shared { DIGESTS_PER_REPORT } else { 0 };
    }

    /// Applies a report that another gateway has passed on, unless a newer one is known. Returns whether it was applied.
    pub(crate) fn merge(&mut self, load: u32, age: SpanMillis, now: ClockMillis) -> bool {
        let reported_at = ClockMillis::new(now.as_millis().saturating_sub(age.as_millis()));
        let is_known = self.reported_at.is_some_and(|known| known >= reported_at);
        if is_known || age >= REPORT_WINDOW {
            return false;
        }
        let sent_since = self.sent_at.iter().filter(|at| **at > reported_at).count();
        let own_then = self.own.saturating_sub(sent_since as u32);
        self.reported = load;
        self.others = load.saturating_sub(own_then);
        self.reported_at = Some(reported_at);
        self.digests_left = DIGESTS_PER_REPORT;
        true
    }

    /// The last report, if it is to be included in a digest: its load and age.
    pub(crate) fn unshared_report(&self, now: ClockMillis) -> Option<(u32, SpanMillis)> {
        let age = self.age(now)?;
        (self.digests_left > 0).then_some((self.reported, age))
    }

    /// Records that a digest includes the last report.
    pub(crate) fn note_shared(&mut self) {
        self.digests_left = self.digests_left.saturating_sub(1);
    }

    /// This gateway's outstanding requests.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Age of the last report, or `None` without a recent one.
    pub(crate) fn age(&self, now: ClockMillis) -> Option<SpanMillis> {
        let age = now.since(self.reported_at?);
        (age < REPORT_WINDOW).then_some(age)
    }

    /// Requests of other gateways, or `None` without a recent report.
    pub(crate) fn others(&self, now: ClockMillis) -> Option<u32> {
        self.age(now).map(|_| self.others)
    }
}

/// Whether an upstream with `slots` slots can have `load` running and queued requests.
pub(crate) fn is_plausible(load: u32, slots: u32) -> bool {
    load <= slots.max(1).saturating_mul(PLAUSIBLE_SLOT_MULTIPLE)
}
