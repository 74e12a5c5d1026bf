//! Loads of upstreams that gateways tell each other.
//!
//! An upstream reports its load with each response, but only to the gateway that gets the response. With a hundred gateways,
//! each hears from an upstream only every few seconds. So they pass on what they hear: each gateway regularly sends a digest
//! of the newest reports to another one, chosen at random (epidemic dissemination: Demers et al., "Epidemic Algorithms for
//! Replicated Database Maintenance", 1987). The time until all know a report grows with the logarithm of their number, and
//! the bytes that a gateway sends do not grow with it.

use std::cmp::Reverse;

use fescuetide_base::ClockMillis;
use fescuetide_base::PoolName;
use fescuetide_base::VmName;

use super::RequestScheduler;
use crate::FlowNotice;
use crate::LoadEntry;
use crate::LoadReport;
use crate::WorkRequest;
use crate::placement;
use crate::pool::MergeResult;

/// Maximum number of entries in a load digest. If there are more, the fullest upstreams are told first, since a load matters
/// when it is near the cap.
pub const LOAD_DIGEST_LIMIT: usize = 160;

/// How the reported loads compare with the load cap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Load reports in the heads of streams.
    pub reports: u64,
    /// Of these, those above the load cap at that time.
    pub above_cap: u64,
}

/// Where a load report comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportSource {
    /// The head of an event stream. Streams last for seconds, so the load is still much the same when other gateways learn
    /// of it.
    StreamHead,
    /// A whole response. The requests of such a pool are short, so its loads are out of date before others learn of them.
    Response,
}

impl RequestScheduler {
    /// Records the load that an upstream reported to this gateway.
    pub(super) fn note_report(
        &mut self,
        pool: &PoolName,
        vm: &VmName,
        report: Option<LoadReport>,
        source: ReportSource,
        now: ClockMillis,
    ) {
        let (Some(pool), Some(report)) = (self.pools.get_mut(pool), report) else {
            return;
        };
        let is_shared = source == ReportSource::StreamHead;
        if !pool.note_report(vm, report, is_shared, now) {
            self.notices.push(FlowNotice::LoadRejected {
                load: report.total(),
            });
            return;
        }
        if is_shared {
            let cap = placement::load_cap(pool.mean_load(now), &self.settings);
            self.load_counts.reports += 1;
            self.load_counts.above_cap += u64::from(report.total() > cap);
        }
    }

    /// How the loads that upstreams reported to this gateway compare with the load cap.
    pub fn load_counts(&self) -> LoadCounts {
        self.load_counts
    }

    /// Records a request for a pool. Returns the number of upstreams that share the requests with its prompt prefix.
    pub(super) fn note_demand(
        &mut self,
        request: &WorkRequest,
        pool: &PoolName,
        now: ClockMillis,
    ) -> usize {
        let prefix = request.prompt.shared_hash();
        let (Some(pool), Some(prefix)) = (self.pools.get_mut(pool), prefix) else {
            return 1;
        };
        pool.note_demand(prefix, now)
    }

    /// Returns the loads to tell another gateway. Each report is included a few times, so this is called for each gateway
    /// that is told.
    pub fn take_load_digest(&mut self, now: ClockMillis) -> Vec<LoadEntry> {
        let mut digest = Vec::new();
        for pool in self.pools.values() {
            pool.list_unshared(&mut digest, now);
        }
        if digest.len() > LOAD_DIGEST_LIMIT {
            digest.sort_by_key(|entry| (Reverse(entry.load), entry.age));
            digest.truncate(LOAD_DIGEST_LIMIT);
        }
        for pool in self.pools.values_mut() {
            for entry in &digest {
                pool.note_shared(entry.key);
            }
        }
        digest
    }

    /// Adds the loads that another gateway tells. Upstreams that are not known here are skipped. Returns the number of entries
    /// that were newer than what was known.
    pub fn merge_load_digest(&mut self, digest: &[LoadEntry], now: ClockMillis) -> usize {
        let mut applied = 0;
        for entry in digest.iter().take(LOAD_DIGEST_LIMIT) {
            for pool in self.pools.values_mut() {
                let Some(result) = pool.merge_load(*entry, now) else {
                    continue;
                };
                match result {
                    MergeResult::Applied => applied += 1,
                    MergeResult::Known => {}
                    MergeResult::Implausible => {
                        let load = entry.load;
                        self.notices.push(FlowNotice::LoadRejected { load });
                    }
                }
                break;
            }
        }
        applied
    }
}
