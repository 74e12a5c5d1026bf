//! The collector of an availability zone.

use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::PoolName;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

use crate::PoolSum;

/// Settings of a collector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CollectorSettings {
    /// How long a report or a peer's sum counts.
    pub retention: SpanMillis,
}

impl Default for CollectorSettings {
    fn default() -> Self {
        Self {
            retention: SpanMillis::new(3_000),
        }
    }
}

/// What a side process reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The VM of the upstream.
    pub vm: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// Its load.
    pub load: LoadCount,
}

#[derive(Clone, Debug)]
struct TimedReport {
    report: UpstreamReport,
    at: ClockMillis,
}

#[derive(Clone, Debug)]
struct TimedSums {
    sums: IndexMap<PoolName, PoolSum>,
    at: ClockMillis,
}

/// Collects reports of one availability zone and sums of other collectors.
#[derive(Clone, Debug, Default)]
pub struct LoadCollector {
    settings: CollectorSettings,
    reports: IndexMap<VmName, TimedReport>,
    peers: IndexMap<VmName, TimedSums>,
}

impl LoadCollector {
    /// Creates an empty collector.
    pub fn new(settings: CollectorSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes a side process's report.
    pub fn note_report(&mut self, report: UpstreamReport, now: ClockMillis) {
        self.reports
            .insert(report.vm.clone(), TimedReport { report, at: now });
    }

    /// Takes the sums of another collector's own reports.
    pub fn note_peer(&mut self, peer: VmName, sums: IndexMap<PoolName, PoolSum>, now: ClockMillis) {
        self.peers.insert(peer, TimedSums { sums, at: now });
    }

    /// Drops what is older than the retention.
    pub fn expire(&mut self, now: ClockMillis) {
        let retention = self.settings.retention;
        self.reports
            .retain(|_, timed| now.since(timed.at) <= retention);
        self.peers
            .retain(|_, timed| now.since(timed.at) <= retention);
    }

    /// The sums of this collector's own reports, to send to its peers.
    pub fn own_sums(&self) -> IndexMap<PoolName, PoolSum> {
        let mut sums: IndexMap<PoolName, PoolSum> = IndexMap::new();
        for timed in self.reports.values() {
            sums.entry(timed.report.pool.clone())
                .or_default()
                .add(timed.report.load);
        }
        sums
    }

    /// The sums over own reports and all peers.
    pub fn total_sums(&self) -> IndexMap<PoolName, PoolSum> {
        let mut sums = self.own_sums();
        for timed in self.peers.values() {
            for (pool, sum) in &timed.sums {
                sums.entry(pool.clone()).or_default().merge(sum);
            }
        }
        sums
    }
}
