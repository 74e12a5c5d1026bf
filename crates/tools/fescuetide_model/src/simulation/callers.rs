//! Callers: request arrivals, retries and outcomes.

use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;

use super::CallerRequest;
use super::Simulation;
use super::SimulationEvent;
use super::WORKSPACE_COUNT;
use crate::engine::RunKey;
use crate::pattern::LoadPattern;
use crate::pattern::REQUEST_KINDS;
use crate::router::RequestOutcome;
use crate::router::RouterRequest;

/// The number of prompt prefixes per workspace and request kind.
const PREFIXES_PER_WORKSPACE: usize = 3;

/// The maximum number of retries by a caller that waits for the retry delay.
const RETRY_LIMIT: u32 = 1;

/// The maximum number of retries by a caller that retries immediately.
const IMMEDIATE_RETRY_LIMIT: u32 = 3;

/// Latency of the network and of an engine before it starts prefill, in microseconds. The value comes from the
/// users' benchmark without incidents.
const OVERHEAD_US: u64 = 27_000;

impl Simulation {
    pub(super) fn handle_arrival(&mut self, kind: usize) {
        let elapsed = self.elapsed_ms();
        if elapsed >= self.settings.seconds * 1_000 {
            return;
        }
        let pattern = self.settings.pattern;
        let factor = pattern.rate_factor(kind, elapsed) * self.settings.load_factor;
        let gap = self
            .random
            .exponential_interval_us(REQUEST_KINDS[kind].rate * factor);
        self.schedule(gap, SimulationEvent::Arrival(kind));
        let workspace = self.sample_workspace(elapsed);
        let mut prefix_index = (workspace, self.random.next_below(PREFIXES_PER_WORKSPACE));
        let unit = self.random.next_f64();
        if pattern.is_hot_part(kind, unit, elapsed) {
            prefix_index = (0, 0);
        }
        let prefix_id = StableHash::new()
            .field(&[kind as u8, prefix_index.0 as u8, prefix_index.1 as u8])
            .finish();
        let retries_immediately =
            pattern == LoadPattern::RetryAbuse && self.random.next_f64() < 0.5;
        self.kinds[kind].total += 1;
        self.workspaces[workspace].0 += 1;
        self.requests.push(CallerRequest {
            kind,
            workspace,
            prefix_id,
            arrived_us: self.now_us,
            submissions: 0,
            retries_immediately,
            router: 0,
            run: RunKey(0),
            engine: None,
            events: 0,
            attempt_started: false,
            first_event_us: None,
            last_event_us: self.now_us,
            max_gap_us: 0,
        });
        self.submit_request(self.requests.len() - 1);
    }

    /// Draws a workspace at random. Workspace `n` has the weight `1 / (n + 1)`. The pattern can raise the weight of the
    /// first one.
    pub(super) fn sample_workspace(&mut self, elapsed_ms: u64) -> usize {
        let first = self.settings.pattern.first_workspace_weight(elapsed_ms);
        let weight = |workspace: usize| {
            let base = 1.0 / (workspace + 1) as f64;
            if workspace == 0 { base * first } else { base }
        };
        let total: f64 = (0..WORKSPACE_COUNT).map(weight).sum();
        let mut point = self.random.next_f64() * total;
        for workspace in 0..WORKSPACE_COUNT {
            point -= weight(workspace);
            if point < 0.0 {
                return workspace;
            }
        }
        WORKSPACE_COUNT - 1
    }

    /// Submits a request to a random router that is alive.
    pub(super) fn submit_request(&mut self, index: usize) {
        let alive: Vec<usize> = (0..self.routers.len())
            .filter(|router| self.alive[*router])
            .collect();
        let router = alive[self.random.next_below(alive.len())];
        self.next_run += 1;
        let run = RunKey(self.next_run);
        let now = self.now();
        let request = &mut self.requests[index];
        request.submissions += 1;
        request.router = router;
        request.run = run;
        let kind = REQUEST_KINDS[request.kind];
        let elapsed_ms = (self.now_us - request.arrived_us) / 1_000;
        let arrival = RouterRequest {
            run,
            kind,
            prefix_id: request.prefix_id,
            workspace: request.workspace as u64,
            limit: SpanMillis::new(kind.timeout_ms.saturating_sub(elapsed_ms)),
        };
        self.runs.insert(run, index);
        self.routers[router].handle_request(&arrival, now);
    }

    pub(super) fn finish_request(&mut self, run: RunKey, outcome: RequestOutcome) {
        let Some(index) = self.runs.swap_remove(&run) else {
            return;
        };
        match outcome {
            RequestOutcome::Served => self.record_served(index),
            RequestOutcome::Refused(retry_after) => {
                self.retry_or_record_failure(index, retry_after, true)
            }
            RequestOutcome::Failed => {
                let is_resumable = REQUEST_KINDS[self.requests[index].kind].is_resumable;
                self.retry_or_record_failure(index, SpanMillis::default(), is_resumable);
            }
        }
    }

    pub(super) fn record_served(&mut self, index: usize) {
        let request = &self.requests[index];
        let kind = &REQUEST_KINDS[request.kind];
        let stats = &mut self.kinds[request.kind];
        let time_to_first_event_us =
            request.first_event_us.unwrap_or(self.now_us) - request.arrived_us + OVERHEAD_US;
        stats
            .time_to_first_event_ms
            .saturating_record(time_to_first_event_us / 1_000);
        stats
            .max_gap_ms
            .saturating_record(request.max_gap_us / 1_000);
        if time_to_first_event_us / 1_000 <= kind.latency_target_ms {
            stats.in_time += 1;
            self.workspaces[request.workspace].1 += 1;
        } else {
            stats.late += 1;
        }
    }

    /// Schedules a retry if the caller makes another one. Otherwise, records the request as failed if `wait` is 0 and
    /// as refused if not. A request that has produced a stream event is not retried.
    pub(super) fn retry_or_record_failure(
        &mut self,
        index: usize,
        wait: SpanMillis,
        may_retry: bool,
    ) {
        let request = &self.requests[index];
        let limit = match request.retries_immediately {
            true => IMMEDIATE_RETRY_LIMIT,
            false => RETRY_LIMIT,
        };
        let wait_us = match request.retries_immediately {
            true => 0,
            false => wait.as_millis() * 1_000,
        };
        let kind = &REQUEST_KINDS[request.kind];
        let elapsed_us = self.now_us + wait_us - request.arrived_us;
        let has_time = elapsed_us < kind.timeout_ms * 1_000;
        let has_events = request.events > 0;
        if may_retry && has_time && !has_events && request.submissions <= limit {
            self.schedule(wait_us.max(1_000), SimulationEvent::Retry(index));
            return;
        }
        let stats = &mut self.kinds[request.kind];
        match wait == SpanMillis::default() {
            true => stats.failed += 1,
            false => stats.refused += 1,
        }
    }
}
