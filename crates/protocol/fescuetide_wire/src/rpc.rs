//! Control RPC between the system's own processes and from the operators' tool.

use fescuetide_base::LoadCount;
use fescuetide_base::PoolName;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_classes::ClassSnapshot;
use fescuetide_limits::CrashFingerprint;
use fescuetide_summary::PoolSum;
use fescuetide_summary::UpstreamReport;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::ClaimReply;
use crate::claim::ClaimWire;
use crate::records::BurnWire;
use crate::records::RequestWire;

/// A side process's report to its collector.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportWire {
    /// The VM.
    pub vm: VmName,
    /// Its pool.
    pub pool: PoolName,
    /// Its load.
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

/// The collector's reply to a report: the sum over the reporter's pool.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct SumWire {
    /// Upstreams counted.
    pub count: u32,
    /// Sum of their loads.
    pub load: u64,
    /// Highest load.
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

/// A request that is refused because it crashes upstreams.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RefusedWire {
    /// The fingerprint of workspace and body.
    pub print: [u8; 16],
    /// How long it is still refused, in ms.
    pub left_ms: u32,
}

impl From<(CrashFingerprint, SpanMillis)> for RefusedWire {
    fn from((print, left): (CrashFingerprint, SpanMillis)) -> Self {
        Self {
            print: print.to_bytes(),
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<RefusedWire> for (CrashFingerprint, SpanMillis) {
    fn from(wire: RefusedWire) -> Self {
        (
            CrashFingerprint::from_bytes(wire.print),
            SpanMillis::new(wire.left_ms.into()),
        )
    }
}

/// The reply to an exchange, from the collector above.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Sums per pool over the whole tree, as far as the collector knows them.
    pub total: Vec<(PoolName, SumWire)>,
    /// Requests that it refuses because they crash upstreams.
    pub refused: Vec<RefusedWire>,
    /// Its class-log offset.
    pub class_offset: u64,
}

/// The sums of a collector and of those below it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeWire {
    /// The collector's VM.
    pub collector: VmName,
    /// Sums per pool.
    pub sums: Vec<(PoolName, SumWire)>,
    /// Requests that the sender refuses because they crash upstreams.
    pub refused: Vec<RefusedWire>,
    /// The next class-log offset that the collector will fold: all changes below are in force there.
    pub class_offset: u64,
}

/// A router's status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The VM.
    pub vm: VmName,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it drains.
    pub draining: bool,
    /// The next class-log offset it will fold.
    pub class_offset: u64,
    /// Milliseconds since its VM list was last read.
    pub vm_list_age_ms: u64,
    /// VMs in its list.
    pub vm_count: u32,
    /// Requests in progress.
    pub active_requests: u32,
    /// Control bytes sent and received since the start.
    pub control_bytes: u64,
    /// Sums per pool.
    pub sums: Vec<(PoolName, SumWire)>,
}

/// Control RPC that a router serves.
#[tarpc::service]
pub trait RouterControl {
    /// Takes a side process's report; the reply has the sum over its pool.
    async fn report(report: ReportWire) -> SumWire;
    /// Takes the sums of a collector below; the reply has those of the whole tree.
    async fn exchange(sums: ExchangeWire) -> ExchangeReply;
    /// Asks the registrar to append a claim; the caller waits for `within`.
    async fn claim(claim: ClaimWire, within: SpanMillis) -> ClaimReply;
    /// The class table, when it is newer than the given offset.
    async fn snapshot(above: u64) -> Option<ClassSnapshot>;
    /// The router's status.
    async fn status() -> RouterStatus;
    /// The record of a request that this router served, while it is kept.
    async fn trace(request: RequestId) -> Option<RequestWire>;
    /// Counts of all classes for the burn report.
    async fn burn() -> Vec<BurnWire>;
    /// Stops taking requests. Requests in progress run to their end.
    async fn drain();
}

/// A side process's status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SideStatus {
    /// The VM.
    pub vm: VmName,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it refuses new work.
    pub draining: bool,
    /// Its load.
    pub load: u32,
    /// The mean load of its pool as last learned.
    pub mean: f64,
}

/// Control RPC that a side process serves.
#[tarpc::service]
pub trait SideControl {
    /// The side process's status.
    async fn status() -> SideStatus;
    /// Refuses new work from now on. Attempts in progress run to their end.
    async fn drain();
}
