//! Counters and histograms.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Upper bounds of the latency histogram's buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 10] = [5, 10, 25, 50, 100, 250, 500, 1_000, 2_500, 10_000];

/// A histogram of latencies.
#[derive(Debug, Default)]
pub struct LatencyHistogram {
    buckets: [AtomicU64; LATENCY_BOUNDS_MS.len() + 1],
    sum_ms: AtomicU64,
}

impl LatencyHistogram {
    /// Adds a latency to the histogram.
    pub fn observe(&self, millis: u64) {
        let index = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < millis);
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        self.sum_ms.fetch_add(millis, Ordering::Relaxed);
    }

    fn write(&self, out: &mut String, name: &str) {
        let mut count = 0;
        for (index, bucket) in self.buckets.iter().enumerate() {
            count += bucket.load(Ordering::Relaxed);
            let bound = match LATENCY_BOUNDS_MS.get(index) {
                Some(bound) => bound.to_string(),
                None => "+Inf".to_owned(),
            };
            let _ = writeln!(out, "{name}_bucket{{le=\"{bound}\"}} {count}");
        }
        let sum = self.sum_ms.load(Ordering::Relaxed);
        let _ = writeln!(out, "{name}_sum {sum}\n{name}_count {count}");
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident => $name:literal,)*) => {
        /// Metrics of a gateway.
        #[derive(Debug, Default)]
        pub struct GatewayCounters {
            $($(#[$doc])* pub $field: AtomicU64,)*
            /// Time from the arrival of a request to its response or its first event.
            pub first_response_ms: LatencyHistogram,
        }

        impl GatewayCounters {
            /// Renders the metrics in the Prometheus text format.
            pub fn render(&self) -> String {
                let mut out = String::new();
                $(let _ = writeln!(out, "{} {}", $name, self.$field.load(Ordering::Relaxed));)*
                self.first_response_ms.write(&mut out, "fescuetide_first_part_ms");
                out
            }
        }
    };
}

counters! {
    /// Complete requests received.
    requests => "fescuetide_requests_total",
    /// Upstream responses that were relayed completely.
    relayed => "fescuetide_relayed_total",
    /// Requests that the scheduler refused. They have not run.
    refused => "fescuetide_refused_total",
    /// Requests that failed and may have run.
    failed => "fescuetide_failed_total",
    /// Requests that were invalid, had no known route or key, or arrived before a configuration was known.
    denied => "fescuetide_denied_total",
    /// Requests that ended because their callers disconnected.
    callers_disconnected => "fescuetide_callers_left_total",
    /// Attempts at upstreams.
    attempts => "fescuetide_attempts_total",
    /// Attempts after the first one of a request.
    retries => "fescuetide_retries_total",
    /// Retries that were not made since the retry budget was used up.
    retries_denied => "fescuetide_retries_denied_total",
    /// Times that an upstream wanted no requests for some time.
    upstream_pauses => "fescuetide_upstream_pauses_total",
    /// Times that an upstream that had named no rate limit named one.
    rate_limits => "fescuetide_upstream_rate_limits_total",
    /// Attempts at upstreams that have named a rate limit.
    attempts_rate_limited => "fescuetide_attempts_rate_limited_total",
    /// Upstreams that announced in a response that they leave.
    upstreams_leaving => "fescuetide_upstreams_leaving_total",
    /// Attempts that ended without a usable response, for example since the connection failed.
    attempts_broken => "fescuetide_attempts_broken_total",
    /// Attempts that upstreams declined.
    attempts_declined => "fescuetide_attempts_declined_total",
    /// Connections opened to upstreams.
    upstream_connections => "fescuetide_upstream_connections_total",
    /// Connections accepted from callers.
    caller_connections => "fescuetide_caller_connections_total",
    /// Stream events relayed.
    events => "fescuetide_events_total",
    /// Requests that take up an event stream that broke off before.
    streams_taken_up => "fescuetide_streams_taken_up_total",
    /// Attempts that continue an event stream within its response.
    streams_resumed => "fescuetide_streams_resumed_total",
    /// Streams that callers took up and about which other gateways were asked.
    origins_sought => "fescuetide_stream_origins_sought_total",
    /// Of these, those about which none knew where they began.
    origins_unknown => "fescuetide_stream_origins_unknown_total",
    /// Datagrams sent about where streams began.
    origin_datagrams_sent => "fescuetide_origin_datagrams_sent_total",
    /// Datagrams received about where streams began.
    origin_datagrams_received => "fescuetide_origin_datagrams_received_total",
    /// Connections opened to find out whether an upstream is down.
    probes => "fescuetide_probes_total",
    /// Crashes of upstreams that were counted for requests that ran there.
    crashes_counted => "fescuetide_crashes_counted_total",
    /// Crashes of upstreams that added nothing to those of the requests that ran there.
    crashes_coinciding => "fescuetide_crashes_coinciding_total",
    /// Upstreams that accepted connections after an attempt had broken there.
    crash_probes_accepted => "fescuetide_crash_probes_accepted_total",
    /// Requests whose crashes no longer count since they completed.
    crashes_cleared => "fescuetide_crashes_cleared_total",
    /// Requests about whose crashes other gateways reported something new.
    crashes_learned => "fescuetide_crashes_learned_total",
    /// Requests that completed here and whose crashes, found by other gateways, therefore no longer count.
    crashes_vouched => "fescuetide_crashes_vouched_total",
    /// Appends of crash reports to the platform's log service.
    crash_reports => "fescuetide_crash_reports_total",
    /// Times that crash reports were written which the log had lost or never got.
    crash_reports_restored => "fescuetide_crash_reports_restored_total",
    /// Calls to the platform's log service.
    log_calls => "fescuetide_log_calls_total",
    /// Failed calls to the platform's log service.
    log_failures => "fescuetide_log_failures_total",
    /// Times that a reader or writer noticed that the log has come back from an older copy.
    log_restores => "fescuetide_log_restores_total",
    /// Log records that could not be decoded.
    unreadable_records => "fescuetide_unreadable_records_total",
    /// Queries to other gateways.
    peer_queries => "fescuetide_peer_asks_total",
    /// Queries to and from other gateways that failed.
    peer_failures => "fescuetide_peer_failures_total",
    /// Connections ended since buffers exceeded their limit.
    buffers_dropped => "fescuetide_buffers_dropped_total",
    /// Times that a connection was not read for a moment since it held much of the limit of buffers.
    reads_paused => "fescuetide_reads_paused_total",
    /// Bytes in buffers.
    buffered_bytes => "fescuetide_buffered_bytes",
    /// Load digests sent to other gateways.
    load_digests_sent => "fescuetide_load_digests_sent_total",
    /// Load digests received from other gateways.
    load_digests_received => "fescuetide_load_digests_received_total",
    /// Digests of rate limits sent to other gateways.
    limit_digests_sent => "fescuetide_limit_digests_sent_total",
    /// Digests of rate limits received from other gateways.
    limit_digests_received => "fescuetide_limit_digests_received_total",
    /// Upstreams with a rate limit.
    rate_limited_upstreams => "fescuetide_rate_limited_upstreams",
    /// Datagrams dropped since they are no load digests, or since there were too many.
    load_digests_rejected => "fescuetide_load_digests_rejected_total",
    /// Load digests that could not be sent or received.
    load_digest_failures => "fescuetide_load_digest_failures_total",
    /// Times that a peer's read of the log showed this gateway's list of upstreams to be recent.
    listings_confirmed => "fescuetide_listings_confirmed_total",
    /// Configurations known to be the newest from what a peer has read.
    configs_confirmed => "fescuetide_configs_confirmed_total",
    /// Loads that were not plausible and were ignored.
    loads_rejected => "fescuetide_loads_rejected_total",
    /// Attempts at upstreams whose load was not known when they were chosen.
    attempts_unknown_load => "fescuetide_attempts_unknown_load_total",
    /// Load reports in the heads of streams.
    stream_loads => "fescuetide_stream_loads_total",
    /// Of these, those above the load cap at that time.
    stream_loads_above_cap => "fescuetide_stream_loads_above_cap_total",
    /// Version of the current configuration.
    config_version => "fescuetide_config_version",
}

/// Increments a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
