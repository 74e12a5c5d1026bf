//! Load of an upstream as known to this gateway.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// How long a load report remains valid.
const REPORT_WINDOW: SpanMillis = SpanMillis::new(1_500);

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

/// The load of an upstream: the exact number of this gateway's requests, and those of other gateways as last reported.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamLoad {
    own: u32,
    others: u32,
    reported_at: Option<ClockMillis>,
}

impl UpstreamLoad {
    pub(crate) fn add(&mut self) {
        self.own += 1;
    }

    pub(crate) fn remove(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Applies a load report, which includes this gateway's own requests.
    pub(crate) fn note_report(&mut self, report: LoadReport, now: ClockMillis) {
        let total = report.running + report.waiting;
        self.others = total.saturating_sub(self.own);
        self.reported_at = Some(now);
    }

    /// This gateway's outstanding requests.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Requests of other gateways, or `None` without a recent report.
    pub(crate) fn others(&self, now: ClockMillis) -> Option<u32> {
        let at = self.reported_at?;
        (now.since(at) < REPORT_WINDOW).then_some(self.others)
    }
}
