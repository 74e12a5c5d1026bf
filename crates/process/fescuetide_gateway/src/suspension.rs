//! What the traffic thread does after a time in which it did not run.

use fescuetide_base::SpanMillis;

use crate::codec::HttpCodec;
use crate::connection::Connection;
use crate::traffic::TrafficLoop;

/// If the loop does not run for this long, the process is assumed to have been suspended.
pub(crate) const SUSPENSION_THRESHOLD: SpanMillis = SpanMillis::new(1_000);

/// How long reading from callers is paused after a suspension, so that the followers have time to fetch the current
/// configuration and registrations.
const INPUT_PAUSE: SpanMillis = SpanMillis::new(150);

impl<C: HttpCodec> TrafficLoop<C> {
    /// Closes idle connections, which may have died while the process was suspended. Callers and active attempts need
    /// no special treatment: the clock includes the time of the suspension, so their deadlines and timeouts apply.
    pub(crate) fn resume_after_suspension(&mut self, duration: SpanMillis) {
        tracing::warn!(
            stood_still_ms = duration.as_millis(),
            "resumed after a suspension"
        );
        for token in self.idle.tokens() {
            self.drop_idle(token);
        }
        self.input_paused_until = Some(self.now + INPUT_PAUSE);
        if let Some(exchange) = &mut self.datagrams {
            exchange.note_suspension(self.now);
        }
        self.refresh_config();
        if let Some(sender) = &self.refresh_sender
            && sender.send(()).is_err()
        {
            tracing::error!("cannot refresh the upstreams: the follower thread has ended");
        }
    }

    /// Defers reading from a caller while input is paused after a suspension. Returns whether the read is deferred.
    pub(crate) fn defer_read(&mut self, token: usize) -> bool {
        let is_paused = self.input_paused_until.is_some();
        if is_paused {
            self.deferred_reads.insert(token);
        }
        is_paused
    }

    /// Resumes reading from callers when the pause after a suspension is over.
    pub(crate) fn resume_input(&mut self) {
        if self
            .input_paused_until
            .is_none_or(|deadline| self.now < deadline)
        {
            return;
        }
        self.input_paused_until = None;
        for token in std::mem::take(&mut self.deferred_reads) {
            if let Some(Connection::Caller(_)) = self.connections.get(token) {
                self.read_connection(token, true);
                self.run_actions();
            }
        }
    }
}
