//! Settings of a gateway.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use fescuetide_base::ByteCount;
use fescuetide_base::FindingList;
use fescuetide_base::SpanMillis;
use fescuetide_flow::FlowSettings;
use fescuetide_limits::BudgetSettings;
use serde::Deserialize;

/// Allowed range of `grace_ms`. Operators may give processes little time, or none, to end.
const GRACE_RANGE_MS: RangeInclusive<f64> = 0.0..=600_000.0;

/// Settings of a gateway. Times in milliseconds may have a fraction, which is rounded, since bounds that are given in seconds
/// may have one.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Name of this VM.
    pub vm: String,
    /// Availability zone of this VM.
    pub zone: String,
    /// Listen address for callers, that is, clients.
    pub callers: String,
    /// Listen address for readiness checks.
    pub ready: String,
    /// Listen address for metrics, empty to disable them.
    pub metrics: String,
    /// Listen address for other gateways, empty to disable queries to and from peers. The addresses of the peers
    /// themselves are in `seeds`.
    pub peers: String,
    /// UDP port at which gateways tell each other the loads of upstreams, on the address in `peers`. All gateways must use the
    /// same one. 0 stands for the port in `peers`, which may differ between gateways.
    pub load_port: u16,
    /// Addresses of peers to query first; they report further ones. Some of the addresses may be out of date.
    pub seeds: Vec<String>,
    /// Address of the platform's log.
    pub log_service: String,
    /// Time between a termination signal and the kill that follows it, in milliseconds.
    pub grace_ms: f64,
    /// Maximum ratio of retries to requests, over all gateways together.
    pub retry_ratio: f64,
    /// Capacity of the retry budget that all gateways share for each pool: the retries that they may make in one burst.
    /// Each request refills it by `retry_ratio`.
    pub retry_burst: f64,
    /// Time in which the retries of all gateways are limited, in milliseconds. A gateway has no part of `retry_burst` for so
    /// long after its start, since the process before it may just have used it.
    pub retry_window_ms: f64,
    /// Time within which an upstream that is marked as leaving must stop receiving new requests, in milliseconds.
    pub leave_limit_ms: f64,
    /// Time within which a published configuration must take effect, in milliseconds.
    pub config_limit_ms: f64,
    /// Maximum size of all messages that are buffered because they are incomplete or not yet sent on, in MiB.
    pub buffer_limit_mb: u64,
    /// Maximum load of an engine, as a multiple of the mean load of its pool.
    pub load_multiple: f64,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            vm: String::new(),
            zone: String::new(),
            callers: String::new(),
            ready: String::new(),
            metrics: String::new(),
            peers: String::new(),
            load_port: 0,
            seeds: Vec::new(),
            log_service: String::new(),
            grace_ms: 8_000.0,
            retry_ratio: 0.2,
            retry_burst: 40.0,
            retry_window_ms: 10_000.0,
            leave_limit_ms: 2_000.0,
            config_limit_ms: 2_000.0,
            buffer_limit_mb: 40,
            load_multiple: FlowSettings::default().load_multiple,
        }
    }
}

/// Allowed range of `leave_limit_ms` and `config_limit_ms`.
const PROPAGATION_LIMIT_RANGE_MS: RangeInclusive<f64> = 500.0..=600_000.0;

/// Allowed range of `buffer_limit_mb`. The least holds two of the largest responses.
const BUFFER_LIMIT_RANGE_MB: (u64, u64) = (32, 65_536);

/// Fraction of the shared retry burst that is given out. The rest is a margin for moments in which gateways know of
/// different numbers of gateways.
const RETRY_BURST_FRACTION: f64 = 0.75;

/// Fraction of the shared retry ratio that is given out. A retry happens later than its request. When traffic
/// decreases, the retries of earlier requests are compared with fewer new requests, so the measured ratio can exceed
/// that of the budget. The rest is a margin for this.
const RETRY_RATIO_FRACTION: f64 = 0.75;

impl GatewaySettings {
    /// Checks the settings and returns all findings, each with its key.
    pub fn check(&self) -> FindingList {
        let mut list = FindingList::default();
        for (key, value) in [("vm", &self.vm), ("zone", &self.zone)] {
            if value.parse::<fescuetide_base::ZoneName>().is_err() {
                list.add(key, format!("{value:?} is not a valid name"));
            }
        }
        let addresses = [
            ("callers", &self.callers, true),
            ("ready", &self.ready, true),
            ("metrics", &self.metrics, false),
            ("peers", &self.peers, false),
            ("log_service", &self.log_service, true),
        ];
        let seeds = self.seeds.iter().map(|seed| ("seeds", seed, true));
        let addresses = addresses.into_iter().chain(seeds);
        for (key, value, is_needed) in addresses {
            let is_disabled = value.is_empty() && !is_needed;
            if !is_disabled && value.parse::<SocketAddr>().is_err() {
                list.add(
                    key,
                    format!("{value:?} is not an address such as \"10.0.0.9:7000\""),
                );
            }
        }
        list.check_range("grace_ms", self.grace_ms, GRACE_RANGE_MS);
        list.check_range("retry_ratio", self.retry_ratio, 0.0..=10.0);
        list.check_range("retry_burst", self.retry_burst, 0.0..=1_000_000.0);
        list.check_range("retry_window_ms", self.retry_window_ms, 0.0..=600_000.0);
        for (key, value) in [
            ("leave_limit_ms", self.leave_limit_ms),
            ("config_limit_ms", self.config_limit_ms),
        ] {
            list.check_range(key, value, PROPAGATION_LIMIT_RANGE_MS);
        }
        list.check_range(
            "buffer_limit_mb",
            self.buffer_limit_mb,
            BUFFER_LIMIT_RANGE_MB.0..=BUFFER_LIMIT_RANGE_MB.1,
        );
        list.check_range("load_multiple", self.load_multiple, 1.0..=100.0);
        list
    }

    /// The parsed seed addresses. [`check`](Self::check) reports invalid ones, which are skipped here.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds.filter_map(|seed| seed.parse().ok()).collect()
    }

    /// The grace period of a shutdown.
    pub fn grace(&self) -> SpanMillis {
        round_millis(self.grace_ms)
    }

    /// Maximum size of all buffered messages together.
    pub(crate) fn buffer_limit(&self) -> ByteCount {
        ByteCount::new(self.buffer_limit_mb * 1_024 * 1_024)
    }

    /// Pause between two reads of the upstreams' registrations in the log. Together with the response time it must stay
    /// well below `leave_limit_ms`.
    pub(crate) fn upstream_pause(&self) -> SpanMillis {
        round_millis(self.leave_limit_ms * 0.3)
    }

    /// How long a read of configurations waits for a new one. Publishing a configuration normally ends a waiting read
    /// at once. If it does not, the configuration is seen only when the wait is over, so the wait must be shorter than
    /// `config_limit_ms`.
    pub(crate) fn config_wait(&self) -> SpanMillis {
        round_millis(self.config_limit_ms * 0.75)
    }

    /// Settings of the request scheduler.
    pub fn flow_settings(&self) -> FlowSettings {
        FlowSettings {
            load_multiple: self.load_multiple,
            retries: BudgetSettings {
                ratio: self.retry_ratio * RETRY_RATIO_FRACTION,
                burst: self.retry_burst * RETRY_BURST_FRACTION,
            },
            retry_window: round_millis(self.retry_window_ms),
            listing_limit: round_millis(self.leave_limit_ms / 2.0),
            ..FlowSettings::default()
        }
    }
}

/// Rounds milliseconds with a fraction. [`GatewaySettings::check`] reports those that are no time.
fn round_millis(millis: f64) -> SpanMillis {
    SpanMillis::new(millis.round() as u64)
}
