//! Settings of a gateway.

use std::net::SocketAddr;

use fescuetide_base::FindingList;
use fescuetide_base::SpanMillis;
use fescuetide_flow::FlowSettings;
use fescuetide_limits::BudgetSettings;
use serde::Deserialize;

/// Shortest and longest time for shutting down, in milliseconds.
const GRACE_RANGE_MS: (u64, u64) = (1_000, 600_000);

/// Settings of a gateway.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// The name of this VM.
    pub vm: String,
    /// The availability zone of this VM.
    pub zone: String,
    /// Where callers connect.
    pub callers: String,
    /// Where readiness is asked.
    pub ready: String,
    /// Where metrics are served, empty for nowhere.
    pub metrics: String,
    /// Where other gateways are answered, empty for nowhere.
    pub peers: String,
    /// Addresses of other gateways to ask first. They may be out of date.
    pub seeds: Vec<String>,
    /// The platform's log.
    pub log_service: String,
    /// The time between a termination signal and the kill that follows it.
    pub grace_ms: u64,
    /// Retries per request that all routers together may make.
    pub retry_ratio: f64,
    /// Retries beyond that ratio that all routers together may make within a few seconds.
    pub retry_burst: u32,
    /// How long after an upstream's entry says that it leaves it may get new work.
    pub leave_limit_ms: u64,
    /// How long after a configuration is published it must be in force.
    pub config_limit_ms: u64,
    /// No engine gets work above this multiple of the mean load of its pool.
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
            seeds: Vec::new(),
            log_service: String::new(),
            grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_burst: 40,
            leave_limit_ms: 2_000,
            config_limit_ms: 2_000,
            load_multiple: FlowSettings::default().load_multiple,
        }
    }
}

/// Shortest and longest limit for news from the log, in milliseconds.
const PROPAGATION_LIMIT_RANGE_MS: (u64, u64) = (500, 600_000);

/// The part of the shared burst that is used, since each router only estimates its share.
const RETRY_BURST_FRACTION: f64 = 0.75;

/// The part of the shared retry ratio that is used, since requests and retries are counted at different moments.
const RETRY_RATIO_FRACTION: f64 = 0.75;

impl GatewaySettings {
    /// Checks the settings and returns all findings, each with its key.
    pub fn check(&self) -> FindingList {
        let mut list = FindingList::default();
        for (key, value) in [("vm", &self.vm), ("zone", &self.zone)] {
            if value.parse::<fescuetide_base::ZoneName>().is_err() {
                list.add(key, format!("{value:?} is not a name"));
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
            let is_missing = value.is_empty() && !is_needed;
            if !is_missing && value.parse::<SocketAddr>().is_err() {
                list.add(
                    key,
                    format!("{value:?} is not an address such as \"10.0.0.9:7000\""),
                );
            }
        }
        list.check_range(
            "grace_ms",
            self.grace_ms,
            GRACE_RANGE_MS.0..=GRACE_RANGE_MS.1,
        );
        list.check_range("retry_ratio", self.retry_ratio, 0.0..=10.0);
        list.check_range("retry_burst", self.retry_burst, 0..=1_000_000);
        for (key, value) in [
            ("leave_limit_ms", self.leave_limit_ms),
            ("config_limit_ms", self.config_limit_ms),
        ] {
            list.check_range(
                key,
                value,
                PROPAGATION_LIMIT_RANGE_MS.0..=PROPAGATION_LIMIT_RANGE_MS.1,
            );
        }
        list.check_range("load_multiple", self.load_multiple, 1.0..=100.0);
        list
    }

    /// The seeds as addresses; [`check`](Self::check) reports those that are none.
    pub(crate) fn seed_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds.filter_map(|seed| seed.parse().ok()).collect()
    }

    /// The time for shutting down.
    pub fn grace(&self) -> SpanMillis {
        SpanMillis::new(self.grace_ms)
    }

    /// The pause between two reads of upstreams: with the time for an answer, news must come well within the limit.
    pub(crate) fn upstream_pause(&self) -> SpanMillis {
        SpanMillis::new(self.leave_limit_ms * 3 / 10)
    }

    /// How long a read of configurations waits for news: a call that the log has lost is only noticed after this.
    pub(crate) fn config_wait(&self) -> SpanMillis {
        SpanMillis::new(self.config_limit_ms * 3 / 4)
    }

    /// The settings of the decisions.
    pub fn flow_settings(&self) -> FlowSettings {
        FlowSettings {
            load_multiple: self.load_multiple,
            retries: BudgetSettings {
                ratio: self.retry_ratio * RETRY_RATIO_FRACTION,
                burst: f64::from(self.retry_burst) * RETRY_BURST_FRACTION,
            },
            ..FlowSettings::default()
        }
    }
}
