//! Control RPC between the processes of the system, and from the operator CLI.
//!
//! Every router is a collector: it receives the load reports of some of the side processes. The collectors of a region
//! form a tree, which each of them derives from its VM list. Each collector regularly sends the sums of its subtree to
//! its parent, whose reply contains the sums of the whole tree.

use fescuetide_base::LoadCount;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::UpstreamLife;
use fescuetide_base::VmName;
use fescuetide_classes::ClassSnapshot;
use fescuetide_limits::CrashCount;
use fescuetide_limits::CrashEvidence;
use fescuetide_limits::CrashFingerprint;
use fescuetide_limits::EndSet;
use fescuetide_summary::PoolSum;
use fescuetide_summary::UpstreamReport;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimReply;
use crate::claim::ClaimWire;
use crate::records::BurnWire;
use crate::records::RequestWire;

/// A load report that a side process sends to its collector.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportWire {
    /// The VM of the side process.
    pub vm: VmName,
    /// The pool of the upstream.
    pub pool: PoolName,
    /// The number of queued and running requests of the upstream.
    pub load: u32,
}

impl From<UpstreamReport> for ReportWire {
    fn from(report: UpstreamReport) -> Self {
        Self {
            vm: report.vm,
            pool: report.pool,
            load: report.load.get(),
        }
    }
}

impl From<ReportWire> for UpstreamReport {
    fn from(wire: ReportWire) -> Self {
        Self {
            vm: wire.vm,
            pool: wire.pool,
            load: LoadCount::new(wire.load),
        }
    }
}

/// Aggregated load of the upstreams of a pool.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct SumWire {
    /// The number of upstreams included.
    pub count: u32,
    /// The sum of their loads.
    pub load: u64,
    /// The highest load of a single upstream.
    pub peak: u32,
}

impl From<PoolSum> for SumWire {
    fn from(sum: PoolSum) -> Self {
        Self {
            count: sum.count,
            load: sum.load,
            peak: sum.peak.get(),
        }
    }
}

impl From<SumWire> for PoolSum {
    fn from(wire: SumWire) -> Self {
        Self {
            count: wire.count,
            load: wire.load,
            peak: LoadCount::new(wire.peak),
        }
    }
}

/// What a router or gateway knows about a request that was running on upstreams that crashed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EvidenceWire {
    /// The fingerprint (hash) of the workspace and the request body.
    pub print: [u8; 16],
    /// The crashes so far, counted as [`CrashCount`] says.
    pub crashes: u32,
    /// How many of the crashes do not count, because the request completed after them.
    pub cleared: u32,
    /// Number of times that the request completed after upstreams ended under it.
    pub clears: u32,
    /// The ids of the upstreams' lives that ended since then.
    pub ends: Vec<u32>,
    /// The remaining time for which this is kept, in milliseconds. Relative, because clocks differ between VMs.
    pub left_ms: u32,
}

pub(crate) fn ends_to_wire(ends: &EndSet) -> Vec<u32> {
    let lives = ends.lives().iter();
    lives.map(|life| life.get()).collect()
}

pub(crate) fn ends_from_wire(clears: u32, lives: &[u32]) -> EndSet {
    EndSet::new(clears, lives.iter().copied().map(UpstreamLife::new))
}

impl From<CrashEvidence> for EvidenceWire {
    fn from(evidence: CrashEvidence) -> Self {
        Self {
            print: evidence.fingerprint.to_bytes(),
            crashes: evidence.crashes.get(),
            cleared: evidence.cleared.get(),
            clears: evidence.ends.clears(),
            ends: ends_to_wire(&evidence.ends),
            left_ms: u32::try_from(evidence.left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<EvidenceWire> for CrashEvidence {
    fn from(wire: EvidenceWire) -> Self {
        Self {
            fingerprint: CrashFingerprint::from_bytes(wire.print),
            crashes: CrashCount::new(wire.crashes),
            cleared: CrashCount::new(wire.cleared),
            ends: ends_from_wire(wire.clears, &wire.ends),
            left: SpanMillis::new(wire.left_ms.into()),
        }
    }
}

/// The response of a parent collector to an [`ExchangeWire`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// The load per pool over the whole collector tree, as far as the parent knows it.
    pub total: Vec<(PoolName, SumWire)>,
    /// The requests that the parent suspects of crashing upstreams.
    pub suspects: Vec<EvidenceWire>,
    /// The offset of the next record of the class stream that the parent will apply. It has applied all changes at
    /// lower offsets.
    pub class_offset: u64,
}

/// The aggregated load of a collector and its descendants, sent to its parent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeWire {
    /// The VM of the sending collector.
    pub collector: VmName,
    /// The load per pool.
    pub sums: Vec<(PoolName, SumWire)>,
    /// The requests that the sender suspects of crashing upstreams.
    pub suspects: Vec<EvidenceWire>,
    /// The offset of the next record of the class stream that the sender will apply. It has applied all changes at
    /// lower offsets.
    pub class_offset: u64,
}

/// The status of a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The VM of the router.
    pub vm: VmName,
    /// Whether the router accepts requests.
    pub ready: bool,
    /// Whether the router accepts no new requests, because a drain was requested or the process is shutting down.
    /// Requests in progress are completed.
    pub draining: bool,
    /// The offset of the next record of the class stream that the router will apply.
    pub class_offset: u64,
    /// The time since the VM list was last read, in milliseconds.
    pub vm_list_age_ms: u64,
    /// The number of VMs in the VM list.
    pub vm_count: u32,
    /// The number of requests in progress.
    pub active_requests: u32,
    /// The number of control bytes sent and received since the process started.
    pub control_bytes: u64,
    /// The load per pool.
    pub sums: Vec<(PoolName, SumWire)>,
}

/// The control RPC service of a router.
#[tarpc::service]
pub trait RouterControl {
    /// Records the load report of a side process and returns the load of its pool.
    async fn report(report: ReportWire) -> SumWire;
    /// Records the load of a child collector and returns that of the whole collector tree.
    async fn exchange(sums: ExchangeWire) -> ExchangeReply;
    /// Appends a claim to its claim stream. The registrar gives up after `within`, when the sender stops waiting.
    async fn claim(claim: ClaimWire, within: SpanMillis) -> ClaimReply;
    /// Returns a snapshot of the class table if the table is complete and its next offset is greater than `above`, that
    /// is, if it includes the record at `above`.
    async fn snapshot(above: u64) -> Option<ClassSnapshot>;
    /// Returns the status of the router.
    async fn status() -> RouterStatus;
    /// Returns the record of a request served by this router, if it is still retained.
    async fn trace(request: RequestId) -> Option<RequestWire>;
    /// Returns the request counts of all classes, from which the operator CLI calculates burn rates.
    async fn burn() -> Vec<BurnWire>;
    /// Stops accepting requests. Requests in progress are completed.
    async fn drain();
}

/// The status of a side process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SideStatus {
    /// The VM of the side process.
    pub vm: VmName,
    /// The incarnation of the side process.
    pub incarnation: u64,
    /// Whether the side process refuses new attempts, because its VM is about to be removed or an operator has
    /// requested a drain.
    pub draining: bool,
    /// The number of queued and running requests of the upstream.
    pub load: u32,
    /// The most recently received mean load of the pool.
    pub mean: f64,
}

/// The control RPC service of a side process.
#[tarpc::service]
pub trait SideControl {
    /// Returns the status of the side process.
    async fn status() -> SideStatus;
    /// Refuses new attempts from now on. Attempts in progress are completed.
    async fn drain();
}
