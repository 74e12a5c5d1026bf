//! Load collector of a router. The collectors form a tree over the routers of a region, see
//! [`SummaryTree`](crate::SummaryTree).

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
    /// How long a report is valid.
    pub retention: SpanMillis,
    /// How long the sums of another collector are valid. The default is 2.5 times the interval at which collectors
    /// exchange sums: long enough to tolerate one late exchange, and short because an upstream that changes its
    /// collector is counted twice until its old sum expires.
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

/// Load report of a side process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// VM of the upstream.
    pub vm: VmName,
    /// Pool of the upstream.
    pub pool: PoolName,
    /// Current load of the upstream.
    pub load: LoadCount,
}

#[derive(Clone, Debug)]
struct TimedReport {
    report: UpstreamReport,
    received_at: ClockMillis,
}

#[derive(Clone, Debug)]
struct TimedSums {
    sums: IndexMap<PoolName, PoolSum>,
    received_at: ClockMillis,
}

/// Aggregates the reports of side processes and the sums of child collectors in the tree.
///
/// A side process or collector that switches to another parent is counted by both until its old data expires.
#[derive(Clone, Debug, Default)]
pub struct LoadCollector {
    settings: CollectorSettings,
    reports: IndexMap<VmName, TimedReport>,
    children: IndexMap<VmName, TimedSums>,
    /// Sums over the whole tree, received from the parent collector.
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

    /// Stores the report of a side process.
    pub fn note_report(&mut self, report: UpstreamReport, now: ClockMillis) {
        self.reports.insert(
            report.vm.clone(),
            TimedReport {
                report,
                received_at: now,
            },
        );
    }

    /// Stores the sums of a child collector.
    pub fn note_child(
        &mut self,
        child: VmName,
        sums: IndexMap<PoolName, PoolSum>,
        now: ClockMillis,
    ) {
        self.children.insert(
            child,
            TimedSums {
                sums,
                received_at: now,
            },
        );
    }

    /// Stores the sums over the whole tree, received from the parent collector.
    pub fn note_total(&mut self, sums: IndexMap<PoolName, PoolSum>, now: ClockMillis) {
        self.total = Some(TimedSums {
            sums,
            received_at: now,
        });
    }

    /// Drops expired reports and sums.
    pub fn expire(&mut self, now: ClockMillis) {
        let retention = self.settings.retention;
        self.reports
            .retain(|_, timed| now.since(timed.received_at) <= retention);
        let retention = self.settings.sum_retention;
        self.children
            .retain(|_, timed| now.since(timed.received_at) <= retention);
        self.total
            .take_if(|timed| now.since(timed.received_at) > retention);
    }

    /// Returns the sums over the reports of this collector.
    pub fn own_sums(&self) -> IndexMap<PoolName, PoolSum> {
        let mut sums: IndexMap<PoolName, PoolSum> = IndexMap::new();
        for timed in self.reports.values() {
            sums.entry(timed.report.pool.clone())
                .or_default()
                .add(timed.report.load);
        }
        sums
    }

    /// Returns the sums over the subtree rooted at this collector, to be sent to its parent.
    pub fn subtree_sums(&self) -> IndexMap<PoolName, PoolSum> {
        let mut sums = self.own_sums();
        for timed in self.children.values() {
            for (pool, sum) in &timed.sums {
                sums.entry(pool.clone()).or_default().merge(sum);
            }
        }
        sums
    }

    /// Returns the sums over the whole tree: those of the parent while they are valid, otherwise those of the subtree.
    pub fn total_sums(&self) -> IndexMap<PoolName, PoolSum> {
        match &self.total {
            Some(timed) => timed.sums.clone(),
            None => self.subtree_sums(),
        }
    }
}
