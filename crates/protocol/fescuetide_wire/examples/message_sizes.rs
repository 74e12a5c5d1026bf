//! Prints the encoded sizes of messages and records. docs/CAPACITY.md lists them, together with the growth per class
//! and per VM.

use std::net::SocketAddr;

use fescuetide_base::AttemptId;
use fescuetide_base::ChangeId;
use fescuetide_base::ClaimId;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::IdempotencyKey;
use fescuetide_base::LogOffset;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestId;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ClassChange;
use fescuetide_classes::ClassTable;
use fescuetide_classes::ClassTargets;
use fescuetide_records::AttemptResult;
use fescuetide_records::RecordOutcome;
use fescuetide_wire::claim::ClaimWire;
use fescuetide_wire::codec::encode;
use fescuetide_wire::frame::WorkKey;
use fescuetide_wire::log::ChangeWire;
use fescuetide_wire::log::ClassRecord;
use fescuetide_wire::records::AttemptWire;
use fescuetide_wire::records::RequestWire;
use fescuetide_wire::rpc::ReportWire;
use fescuetide_wire::vms::VmListWire;
use fescuetide_wire::vms::VmWire;

type ExampleResult<T> = Result<T, Box<dyn std::error::Error>>;

fn main() -> ExampleResult<()> {
    let report = ReportWire {
        vm: "engine-6300".parse()?,
        pool: "fescuetide-pool".parse()?,
        load: 12,
    };
    println!(
        "load report, postcard            {} bytes",
        encode(&report)?.len()
    );
    println!("claim, JSON                      {} bytes", claim_size()?);
    println!(
        "request record, JSON, 1 attempt  {} bytes",
        request_record_size()?
    );
    let record = ClassRecord::Change(ChangeWire::from(example_change(1)?));
    println!(
        "class change, JSON               {} bytes",
        serde_json::to_vec(&record)?.len()
    );
    for count in [9, 100, 1_000] {
        let (total, change_ids) = class_snapshot_sizes(count)?;
        println!(
            "class snapshot, JSON, {count:>5} classes  {total} bytes, of which {change_ids} bytes are change ids"
        );
    }
    for count in [18, 100, 1_000, 6_640] {
        println!(
            "VM list, JSON, {count:>5} VMs       {} bytes",
            vm_list_size(count)?
        );
    }
    Ok(())
}

fn example_change(number: usize) -> ExampleResult<ClassChange> {
    Ok(ClassChange {
        id: ChangeId::generate(),
        class: format!("class-{number}").parse()?,
        based_on: ClassVersion::default(),
        action: ChangeAction::Set(ClassTargets::default()),
        author: "operator".to_owned(),
        at: ClockMillis::new(1_796_000_000_000),
    })
}

fn class_snapshot_sizes(count: usize) -> ExampleResult<(usize, usize)> {
    let mut table = ClassTable::default();
    for number in 0..count {
        table.apply(LogOffset::new(number as u64), &example_change(number)?)?;
    }
    let snapshot = table.snapshot();
    let total = serde_json::to_vec(&ClassRecord::Snapshot(snapshot.clone()))?.len();
    Ok((total, serde_json::to_vec(&snapshot.recent)?.len()))
}

fn claim_size() -> ExampleResult<usize> {
    let claim = ClaimWire {
        id: ClaimId::generate(),
        key: WorkKey {
            workspace: "workspace-17".parse()?,
            key: IdempotencyKey::generate(),
        },
        target: "service-12".parse()?,
        target_incarnation: ProcessIncarnation::new(u64::MAX),
        router: "router-340".parse()?,
        router_incarnation: ProcessIncarnation::new(1_796_000_000_000),
        content: u64::MAX,
        supersedes: None,
    };
    Ok(serde_json::to_vec(&claim)?.len())
}

fn request_record_size() -> ExampleResult<usize> {
    let request = RequestWire {
        request: RequestId::generate(),
        router: "router-340".parse()?,
        workspace: "workspace-17".parse()?,
        class: "slide-rewrite".parse()?,
        pool: "fescuetide-pool".parse()?,
        received_ms: 1_796_000_000_000,
        first_part_ms: Some(140),
        span_ms: 2_600,
        outcome: RecordOutcome::Completed,
        reason: String::new(),
        attempts: vec![AttemptWire {
            attempt: AttemptId::generate(),
            vm: "engine-6300".parse()?,
            started_ms: 1_796_000_000_002,
            span_ms: 2_598,
            result: AttemptResult::Completed,
        }],
    };
    Ok(serde_json::to_vec(&request)?.len())
}

fn vm_list_size(count: usize) -> ExampleResult<usize> {
    let mut list = VmListWire {
        version: 1,
        vms: Vec::with_capacity(count),
    };
    for number in 0..count {
        list.vms.push(VmWire {
            name: format!("engine-{number}"),
            role: "engine".to_owned(),
            pool: "fescuetide-pool".to_owned(),
            zone: "lsn-a".to_owned(),
            region: "ch-west".to_owned(),
            data: SocketAddr::from(([10, 0, 200, 200], 7_200)),
            control: SocketAddr::from(([10, 0, 200, 200], 7_201)),
            leaving: false,
        });
    }
    Ok(serde_json::to_vec(&list)?.len())
}
