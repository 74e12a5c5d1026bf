//! What the traffic thread does with changes of what is known about requests that crash upstreams.

use fescuetide_flow::CrashEvent;
use fescuetide_limits::CrashEvidence;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::crash_reports::ReportCommand;
use crate::log_line_limit::LogLineKind;
use crate::peers::PeerCommand;
use crate::traffic::TrafficLoop;

impl<C: HttpCodec> TrafficLoop<C> {
    /// Counts and logs what has changed about requests that crash upstreams, and shares it with the other gateways.
    pub(crate) fn share_crash_evidence(&mut self) {
        let events = self.scheduler.take_crash_events();
        if events.is_empty() {
            return;
        }
        let mut has_new_refusal = false;
        let mut is_urgent = false;
        for event in events {
            has_new_refusal |= matches!(
                event,
                CrashEvent::Counted {
                    is_refused: true,
                    ..
                }
            );
            is_urgent |= matches!(
                event,
                CrashEvent::Counted { .. }
                    | CrashEvent::Cleared {
                        is_urgent: true,
                        ..
                    }
                    | CrashEvent::Vouched(_)
            );
            self.log_crash_event(event);
        }
        if let Some(peers) = &self.peer_sender {
            let list = self.scheduler.list_crash_evidence(self.now);
            let mut is_sent = peers.send(PeerCommand::Evidence(list)).is_ok();
            if has_new_refusal {
                is_sent &= peers.send(PeerCommand::Broadcast).is_ok();
            }
            if !is_sent {
                tracing::error!(
                    "cannot share crash evidence with peers: the peer thread has ended"
                );
            }
        }
        let evidence = self.scheduler.take_crash_evidence(self.now);
        self.append_reports(evidence, is_urgent);
    }

    /// Reports evidence that the log lacks, although another gateway found it: the log was away or lost the report, and that
    /// gateway may have ended.
    pub(crate) fn report_missing_evidence(&mut self) {
        if self.is_log_unavailable || !self.has_crash_reports {
            return;
        }
        let known = || self.scheduler.list_crash_evidence(self.now);
        let missing = self.report_backlog.take_missing(known, self.now);
        if missing.is_empty() {
            return;
        }
        count(&self.counters.crash_reports_restored);
        tracing::info!(
            reports = missing.len(),
            "writing crash reports that the log lacks"
        );
        self.append_reports(missing, false);
    }

    fn append_reports(&self, evidence: Vec<CrashEvidence>, is_urgent: bool) {
        let Some(appender) = &self.report_sender else {
            return;
        };
        if evidence.is_empty() {
            return;
        }
        let command = ReportCommand::Append {
            evidence,
            is_urgent,
        };
        if appender.send(command).is_err() {
            tracing::error!("cannot append crash reports: the appending thread has ended");
        }
    }

    fn log_crash_event(&mut self, event: CrashEvent) {
        let counter = match &event {
            CrashEvent::Counted { .. } => &self.counters.crashes_counted,
            CrashEvent::Coinciding { .. } => &self.counters.crashes_coinciding,
            CrashEvent::Accepting(_) => &self.counters.crash_probes_accepted,
            CrashEvent::Cleared { .. } => &self.counters.crashes_cleared,
            CrashEvent::Learned(_) => &self.counters.crashes_learned,
            CrashEvent::Vouched(_) => &self.counters.crashes_vouched,
        };
        count(counter);
        // All requests that were running on an upstream that crashed become known to every gateway. Those with a single
        // crash are only counted here, and logged by the gateway that found it.
        let is_single =
            matches!(&event, CrashEvent::Learned(evidence) if evidence.counting_crashes() < 2);
        if is_single || !self.may_log(LogLineKind::CrashEvidence) {
            return;
        }
        match event {
            CrashEvent::Counted {
                kind,
                evidence,
                upstream,
                is_refused,
            } => tracing::info!(
                %kind,
                fingerprint = %evidence.fingerprint,
                crashes = evidence.crashes.get(),
                cleared = evidence.cleared.get(),
                ends = evidence.ends.len(),
                %upstream,
                is_refused,
                "crash counted"
            ),
            CrashEvent::Coinciding { evidence, upstream } => tracing::info!(
                fingerprint = %evidence.fingerprint,
                crashes = evidence.crashes.get(),
                cleared = evidence.cleared.get(),
                %upstream,
                "crash coincides with one that counts"
            ),
            CrashEvent::Accepting(upstream) => tracing::info!(
                %upstream,
                "upstream accepts connections after a broken attempt"
            ),
            CrashEvent::Cleared { evidence, .. } => tracing::info!(
                fingerprint = %evidence.fingerprint,
                crashes = evidence.crashes.get(),
                "crashes cleared"
            ),
            CrashEvent::Learned(evidence) => tracing::info!(
                fingerprint = %evidence.fingerprint,
                crashes = evidence.crashes.get(),
                cleared = evidence.cleared.get(),
                ends = evidence.ends.len(),
                "crashes learned"
            ),
            CrashEvent::Vouched(evidence) => tracing::info!(
                fingerprint = %evidence.fingerprint,
                "crashes found elsewhere do not count, since this completed here"
            ),
        }
    }
}
