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
    /// How long a report counts.
    pub retention: SpanMillis,
    /// How long the sums of another collector count: two exchanges and a half, since one may be late, and what moves to
    /// another collector is counted twice for this long.
    pub sum_retention: SpanMillis,
}

impl Default for CollectorSettings {
    fn default() -> Self {
        Self {
            retention: SpanMillis::new(3_000),
            sum_retention: SpanMillis::new(1_250),
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

/// Collects reports of side processes and the sums of the collectors below it in the tree.
///
/// A side process or collector that changes to another one is counted by both until the retention has passed.
#[derive(Clone, Debug, Default)]
pub struct LoadCollector {
    settings: CollectorSettings,
    reports: IndexMap<VmName, TimedReport>,
    peers: IndexMap<VmName, TimedSums>,
    /// The sums over the whole tree, from the collector above.
    total: Option<TimedSums>,
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

    /// Takes the sums of a collector below.
    pub fn note_peer(&mut self, peer: VmName, sums: IndexMap<PoolName, PoolSum>, now: ClockMillis) {
        self.peers.insert(peer, TimedSums { sums, at: now });
    }

    /// Takes the sums over the whole tree from the collector above.
    pub fn note_total(&mut self, sums: IndexMap<PoolName, PoolSum>, now: ClockMillis) {
        self.total = Some(TimedSums { sums, at: now });
    }

    /// Drops what is older than the retention.
    pub fn expire(&mut self, now: ClockMillis) {
        let retention = self.settings.retention;
        self.reports
            .retain(|_, timed| now.since(timed.at) <= retention);
        let retention = self.settings.sum_retention;
        self.peers
            .retain(|_, timed| now.since(timed.at) <= retention);
        self.total.take_if(|timed| now.since(timed.at) > retention);
    }

    /// The sums of this collector's own reports.
    pub fn own_sums(&self) -> IndexMap<PoolName, PoolSum> {
        let mut sums: IndexMap<PoolName, PoolSum> = IndexMap::new();
        for timed in self.reports.values() {
            sums.entry(timed.report.pool.clone())
                .or_default()
                .add(timed.report.load);
        }
        sums
    }

    /// The sums over own reports and the collectors below, to send to the collector above.
    pub fn subtree_sums(&self) -> IndexMap<PoolName, PoolSum> {
        let mut sums = self.own_sums();
        for timed in self.peers.values() {
            for (pool, sum) in &timed.sums {
                sums.entry(pool.clone()).or_default().merge(sum);
            }
        }
        sums
    }

    /// The sums over the whole tree: those of the collector above while they are fresh, or else those of the subtree.
    pub fn total_sums(&self) -> IndexMap<PoolName, PoolSum> {
        match &self.total {
            Some(timed) => timed.sums.clone(),
            None => self.subtree_sums(),
        }
    }
}
