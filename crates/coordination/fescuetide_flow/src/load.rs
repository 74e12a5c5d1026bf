//! What this router knows of the load of an upstream.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// How long a report says something about the work of other routers.
const REPORT_WINDOW: SpanMillis = SpanMillis::new(1_500);

/// The load that an upstream told with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// The load of one upstream: this router's own work exactly, and that of others as last reported.
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

    /// Takes over a report. It was made while all of this router's work was there.
    pub(crate) fn note_report(&mut self, report: LoadReport, now: ClockMillis) {
        let total = report.running + report.waiting;
        self.others = total.saturating_sub(self.own);
        self.reported_at = Some(now);
    }

    /// This router's outstanding requests.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Requests of other routers, `None` when no recent report tells them.
    pub(crate) fn others(&self, now: ClockMillis) -> Option<u32> {
        let at = self.reported_at?;
        (now.since(at) < REPORT_WINDOW).then_some(self.others)
    }
}
