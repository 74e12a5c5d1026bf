//! Requests that are not repeatable run at most once, against real processes with faults.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::IdempotencyKey;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::once::OnceCall;
use fescuetide_bench::once::OnceCaller;
use fescuetide_bench::once::count_runs;
use fescuetide_bench::once::key_of;
use fescuetide_bench::once::list_runs;
use fescuetide_bench::once::read_log_status;
use fescuetide_bench::once::set_log_faults;
use fescuetide_bench::ports::free_address;
use fescuetide_bench::process::SignalKind;
use fescuetide_bench::process::wait_for;
use fescuetide_claims::ClaimKey;
use fescuetide_claims::ClaimPartition;
use fescuetide_claims::rank_registrars;
use fescuetide_classes::ClassTargets;
use fescuetide_classes::LatenessTarget;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::log::LogFaults;
use fescuetide_standin::vms::VmListStandIn;
use fescuetide_wire::api::CallOutcome;

const COMPLETED: Option<CallOutcome> = Some(CallOutcome::Completed);
const NOT_RUN: Option<CallOutcome> = Some(CallOutcome::NotRun);
const UNKNOWN: Option<CallOutcome> = Some(CallOutcome::Unknown);

/// An answer that should come at once; requests of the class `slow` may wait ten times as long for the log.
const AT_ONCE: Duration = Duration::from_secs(10);

/// Time for something that should take well under a second.
const SOON: Duration = Duration::from_secs(20);

/// A fleet of plain services. Fleets of this file run one after the other.
struct OnceFleet {
    fleet: FleetProcesses,
    _turn: MutexGuard<'static, ()>,
}

fn targets(repeatable: bool, within_ms: u64) -> ClassTargets {
    ClassTargets {
        repeatable,
        lateness: LatenessTarget {
            within: SpanMillis::new(within_ms),
            ..LatenessTarget::default()
        },
        ..ClassTargets::default()
    }
}

fn start(routers: usize, services: usize, run_ms: u64) -> OnceFleet {
    start_with(routers, services, run_ms, &[])
}

fn start_with(routers: usize, services: usize, run_ms: u64, side_lines: &[&str]) -> OnceFleet {
    static TURN: Mutex<()> = Mutex::new(());
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let class = |name: &str, targets| (name.parse().expect("class name"), targets);
    let fleet = FleetProcesses::start(FleetSettings {
        routers,
        engines: 0,
        services,
        classes: vec![
            class("export", targets(false, 5_000)),
            class("slow", targets(false, 100_000)),
            class("report", targets(true, 5_000)),
        ],
        service_options: vec!["--run-ms".to_owned(), run_ms.to_string()],
        side_lines: side_lines.iter().map(|line| (*line).to_owned()).collect(),
        router_lines: vec![
            "default_deadline_ms = 110000".to_owned(),
            "claim_skew_ms = 50".to_owned(),
        ],
        ..FleetSettings::default()
    })
    .expect("fleet starts");
    OnceFleet { fleet, _turn: turn }
}

impl OnceFleet {
    fn router(&self, index: usize) -> SocketAddr {
        self.fleet.routers[index].vm.data
    }

    fn caller(&self, class: &str) -> OnceCaller {
        OnceCaller::new(&self.fleet, class)
    }

    fn set_faults(&self, faults: LogFaults) {
        set_log_faults(&self.fleet, &faults).expect("log takes faults");
    }

    fn wait_for_run(&self, key: IdempotencyKey) {
        wait_for("start of the run", SOON, || {
            count_runs(&self.fleet, key).expect("journals") == 1
        })
        .expect("request runs");
    }

    fn signal_router(&self, index: usize, kind: SignalKind) {
        let process = self.fleet.routers[index].process.as_ref();
        process.expect("router runs").signal(kind).expect("signal");
    }

    /// Fails when callers were told anything that the journals contradict.
    fn verify(&self, caller: &OnceCaller) {
        let findings = caller.check(&self.fleet).expect("journals");
        assert!(findings.is_empty(), "{findings:#?}");
    }
}

fn partition_of(key: IdempotencyKey) -> ClaimPartition {
    ClaimPartition::of(&ClaimKey {
        workspace: "w-1".parse().expect("workspace name"),
        key,
    })
}

/// Guards against a resend that runs again, and against a kept response that is lost or belongs to another request.
#[test]
fn resend_after_completion_gets_the_same_answer() {
    let fleet = start(2, 3, 5);
    let caller = fleet.caller("export");
    for number in 0..20 {
        let call = OnceCall::new().in_chat(&format!("c-{number}"));
        let first = caller.send(fleet.router(0), &call);
        let second = caller.send(fleet.router(1), &call.in_chat("c-other"));
        assert_eq!(first.outcome, COMPLETED, "{}", first.body);
        assert_eq!(second.outcome, COMPLETED, "{}", second.body);
        assert_eq!(first.body, second.body);
        assert_eq!(second.attempts, 0);
    }
    fleet.verify(&caller);
}

/// Guards against a second run when both requests are claimed before either is read back.
#[test]
fn same_key_at_two_routers_at_once_runs_once() {
    let fleet = start(2, 3, 100);
    let caller = fleet.caller("export");
    send_pairs(&fleet, &caller, 20);
    fleet.verify(&caller);
}

/// Sends each key to two routers at the same moment, from chats that prefer different services.
fn send_pairs(fleet: &OnceFleet, caller: &OnceCaller, count: u64) {
    for number in 0..count {
        let call = OnceCall::new();
        let other = call.in_chat(&format!("c-{}", number + 1));
        thread::scope(|scope| {
            let first = scope.spawn(|| caller.send(fleet.router(0), &call));
            // The offsets cover the time of a claim, so that the appends of both overlap in every order.
            thread::sleep(Duration::from_millis(number * 3 % 40));
            let second = caller.send(fleet.router(1), &other);
            let first = first.join().expect("caller");
            assert_eq!(first.outcome, COMPLETED, "{}", first.body);
            assert_eq!(second.outcome, COMPLETED, "{}", second.body);
        });
    }
}

/// Guards against two registrars that both let a request run: here each router takes itself for the only one.
#[test]
fn two_registrars_at_once_run_a_key_once() {
    let mut fleet = start(1, 3, 100);
    let address = free_address().expect("free port");
    thread::spawn(move || VmListStandIn::default().serve(address));
    let first_list = std::mem::replace(&mut fleet.fleet.vms_address, address);
    fleet.fleet.add_router(1).expect("router starts");
    let (first, second) = (fleet.fleet.routers.remove(0), fleet.fleet.routers.remove(0));
    fleet.fleet.routers.push(second);
    wait_for("VM list", SOON, || fleet.fleet.publish_vms().is_ok()).expect("list is taken");
    fleet.fleet.routers.insert(0, first);
    fleet.fleet.vms_address = first_list;
    wait_for("second router", SOON, || {
        fescuetide_bench::fleet::is_ready(fleet.router(1))
    })
    .expect("router is ready");
    let caller = fleet.caller("export");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        slow_ms: 60,
        uneven: true,
        ..LogFaults::default()
    });
    send_pairs(&fleet, &caller, 40);
    fleet.verify(&caller);
}

/// Guards against a resend that waits for nothing, runs again or is refused while the first request runs.
#[test]
fn resend_while_running_joins() {
    let fleet = start(2, 2, 2_000);
    let caller = fleet.caller("export");
    let call = OnceCall::new();
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(fleet.router(0), &call));
        fleet.wait_for_run(call.key);
        let second = caller.send(fleet.router(1), &call);
        let first = first.join().expect("caller");
        assert_eq!(first.outcome, COMPLETED, "{}", first.body);
        assert_eq!(second.outcome, COMPLETED, "{}", second.body);
        assert_eq!(first.body, second.body);
    });
    fleet.verify(&caller);
}

/// Guards against a run that is cut off, or started again, because its caller left.
#[test]
fn run_goes_on_when_the_caller_leaves() {
    let fleet = start(2, 2, 3_000);
    let caller = fleet.caller("export");
    let call = OnceCall::new();
    let impatient = OnceCall {
        patience: Duration::from_millis(1_500),
        ..call.clone()
    };
    let left = caller.send(fleet.router(0), &impatient);
    assert_eq!(left.outcome, None);
    let again = caller.send(fleet.router(1), &call);
    assert_eq!(again.outcome, COMPLETED, "{}", again.body);
    let lines = list_runs(&fleet.fleet).expect("journals");
    let done = lines.iter().any(|line| line.event == JournalEvent::Done);
    assert!(done, "{lines:?}");
    fleet.verify(&caller);
}

/// Guards against a refusal that ends the request although other upstreams could run it.
#[test]
fn refused_claim_passes_to_the_next_upstream() {
    let fleet = start(2, 3, 5);
    fescuetide_bench::probe::StatusProbe::new()
        .and_then(|probe| probe.drain_side(fleet.fleet.upstreams[0].vm.control))
        .expect("side process drains");
    let caller = fleet.caller("export");
    let mut attempts = 0;
    for number in 0..12 {
        let call = OnceCall::new().in_chat(&format!("c-{number}"));
        let told = caller.send(fleet.router(0), &call);
        assert_eq!(told.outcome, COMPLETED, "{}", told.body);
        attempts += told.attempts;
    }
    assert!(attempts > 12, "no request was refused");
    fleet.verify(&caller);
}

/// Guards against a claim that is waited for while the log is down, a request that runs without a claim, repeatable
/// work that stops, and a kept response that is refused.
#[test]
fn log_down_refuses_at_once() {
    let fleet = start(2, 2, 5);
    let caller = fleet.caller("slow");
    let done = OnceCall::new();
    assert_eq!(caller.send(fleet.router(0), &done).outcome, COMPLETED);
    fleet.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let call = OnceCall::new();
    for router in [0, 1, 0, 1] {
        let told = caller.send(fleet.router(router), &call);
        assert_eq!(told.outcome, NOT_RUN, "{}", told.body);
        assert!(told.retry_after.is_some());
        assert!(told.span < AT_ONCE, "answer took {:?}", told.span);
    }
    assert_eq!(caller.send(fleet.router(1), &done).outcome, COMPLETED);
    let repeatable = fleet.caller("report");
    let told = repeatable.send(fleet.router(0), &OnceCall::new());
    assert_eq!(told.outcome, COMPLETED);
    fleet.set_faults(LogFaults::default());
    wait_for("recovery", SOON, || {
        caller.send(fleet.router(0), &call).outcome == COMPLETED
    })
    .expect("requests run again");
    fleet.verify(&caller);
}

/// Guards against a request that is held back, or runs, although its claim cannot be made within the lateness target.
#[test]
fn slow_log_refuses_and_recovers() {
    let fleet = start(2, 2, 5);
    let caller = fleet.caller("export");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        slow_ms: 2_500,
        ..LogFaults::default()
    });
    let call = OnceCall::new();
    for router in [0, 1, 0, 1] {
        let told = caller.send(fleet.router(router), &call);
        assert_eq!(told.outcome, NOT_RUN, "{}", told.body);
        assert!(told.retry_after.is_some());
    }
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        slow_ms: 50,
        ..LogFaults::default()
    });
    wait_for("recovery", SOON, || {
        caller.send(fleet.router(0), &call).outcome == COMPLETED
    })
    .expect("requests run again");
    fleet.verify(&caller);
}

/// Guards against a claim that is given up, or made twice, because the reply to its append was lost; and against
/// claims that are lost while the log limits its appends.
#[test]
fn lost_append_replies_are_resolved_by_reading() {
    let fleet = start(2, 2, 5);
    let caller = fleet.caller("slow");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        reply_lost: true,
        appends_per_second: 5,
        ..LogFaults::default()
    });
    for number in 0..10 {
        let call = OnceCall::new();
        let told = caller.send(fleet.router(number % 2), &call);
        assert!(matches!(told.outcome, COMPLETED | NOT_RUN), "{}", told.body);
        wait_for("completion", SOON, || {
            caller.send(fleet.router(0), &call).outcome == COMPLETED
        })
        .expect("request completes");
    }
    fleet.verify(&caller);
}

/// Guards against a second run after the process that knew of the first one is gone.
#[test]
fn killed_side_process_makes_the_outcome_unknown() {
    let mut fleet = start(2, 2, 3_000);
    let caller = fleet.caller("export");
    let call = OnceCall::new();
    let name = thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(fleet.router(0), &call));
        fleet.wait_for_run(call.key);
        let name = list_runs(&fleet.fleet).expect("journals")[0].name.clone();
        let pair = fleet
            .fleet
            .upstreams
            .iter()
            .find(|pair| pair.vm.name == name);
        let side = pair
            .and_then(|pair| pair.side.as_ref())
            .expect("side process");
        side.signal(SignalKind::Kill).expect("signal");
        assert_eq!(first.join().expect("caller").outcome, UNKNOWN);
        name
    });
    assert_eq!(caller.send(fleet.router(1), &call).outcome, UNKNOWN);
    let pairs = &fleet.fleet.upstreams;
    let place = pairs.iter().position(|pair| pair.vm.name == name);
    fleet
        .fleet
        .start_side(place.expect("place"))
        .expect("side process starts");
    for router in [0, 1] {
        wait_for("restarted side process", SOON, || {
            caller.send(fleet.router(router), &OnceCall::new()).outcome == COMPLETED
        })
        .expect("new requests run");
        assert_eq!(caller.send(fleet.router(router), &call).outcome, UNKNOWN);
    }
    assert_eq!(count_runs(&fleet.fleet, call.key).expect("journals"), 1);
    fleet.verify(&caller);
}

/// Guards against a key that runs again after its response was dropped because of its size or age.
#[test]
fn dropped_answer_makes_the_outcome_unknown() {
    for limit in ["key_answer_limit_bytes = 10", "key_total_limit_bytes = 10"] {
        let fleet = start_with(2, 2, 5, &[limit, "answer_retention_ms = 200"]);
        let caller = fleet.caller("export");
        let call = OnceCall::new();
        assert_eq!(caller.send(fleet.router(0), &call).outcome, COMPLETED);
        wait_for("drop of the response", SOON, || {
            // Each resend keeps the response for another 200 ms.
            thread::sleep(Duration::from_millis(1_500));
            caller.send(fleet.router(1), &call).outcome == UNKNOWN
        })
        .expect("response is dropped");
        assert_eq!(caller.send(fleet.router(0), &call).outcome, UNKNOWN);
        assert_eq!(count_runs(&fleet.fleet, call.key).expect("journals"), 1);
        fleet.verify(&caller);
    }
}

/// Guards against a side process that runs a key which is so old that its slot or seal may be forgotten.
#[test]
fn side_process_refuses_old_keys() {
    let fleet = start_with(1, 2, 5, &["key_retention_ms = 60000"]);
    let caller = fleet.caller("export");
    let now = ClockMillis::now().as_millis();
    let old = OnceCall::with_key(key_of(ClockMillis::new(now - 120_000)));
    assert_eq!(caller.send(fleet.router(0), &old).outcome, UNKNOWN);
    assert_eq!(
        caller.send(fleet.router(0), &OnceCall::new()).outcome,
        COMPLETED
    );
    assert_eq!(count_runs(&fleet.fleet, old.key).expect("journals"), 0);
    fleet.verify(&caller);
}

/// Guards against requests that fail because the router that writes their claims is paused or gone.
#[test]
fn another_router_writes_claims_when_the_registrar_is_silent() {
    let fleet = start(3, 2, 5);
    let caller = fleet.caller("export");
    for kind in [SignalKind::Pause, SignalKind::Kill] {
        fleet.signal_router(2, kind);
        for number in 0..8 {
            let told = caller.send(fleet.router(number % 2), &OnceCall::new());
            assert_eq!(told.outcome, COMPLETED, "{}", told.body);
        }
    }
    fleet.verify(&caller);
}

/// Guards against a router that dispatches under a claim which was replaced while the router was paused.
#[test]
fn router_paused_between_claim_and_dispatch_causes_no_second_run() {
    let fleet = start(3, 3, 5);
    let caller = fleet.caller("slow");
    for number in 0..3 {
        let call = key_with_other_registrar(&fleet).in_chat(&format!("c-{number}"));
        let stream = partition_of(call.key).to_string();
        let appends = || {
            let status = read_log_status(&fleet.fleet).expect("log answers");
            status.appends.get(&stream).copied().unwrap_or_default()
        };
        let before = appends();
        fleet.set_faults(LogFaults {
            stream: "claims-".to_owned(),
            slow_ms: 60_000,
            slow_appends_only: true,
            ..LogFaults::default()
        });
        thread::scope(|scope| {
            let first = scope.spawn(|| caller.send(fleet.router(0), &call));
            wait_for("claim", SOON, || appends() > before).expect("claim is appended");
            fleet.signal_router(0, SignalKind::Pause);
            fleet.set_faults(LogFaults::default());
            // The first router's claim stands, and nothing was dispatched.
            let second = caller.send(fleet.router(1), &call);
            fleet.signal_router(0, SignalKind::Resume);
            let first = first.join().expect("caller");
            assert_eq!(second.outcome, COMPLETED, "{}", second.body);
            assert_eq!(first.outcome, COMPLETED, "{}", first.body);
            assert_eq!(first.body, second.body);
        });
    }
    fleet.verify(&caller);
}

/// A request whose preferred registrar is not the first router, so that a claim goes on while that router is paused.
fn key_with_other_registrar(fleet: &OnceFleet) -> OnceCall {
    let mut names: Vec<VmName> = Vec::new();
    for router in &fleet.fleet.routers {
        names.push(router.vm.name.parse().expect("VM name"));
    }
    let first = names[0].clone();
    loop {
        let call = OnceCall::new();
        rank_registrars(partition_of(call.key), &mut names);
        if names[0] != first {
            return call;
        }
    }
}

/// Guards against a run under a key whose earlier claim may have expired, and against keys that would be known for too
/// long.
#[test]
fn keys_outside_of_the_window_do_not_run() {
    let fleet = start(1, 1, 5);
    let caller = fleet.caller("export");
    let now = ClockMillis::now().as_millis();
    let old = OnceCall::with_key(key_of(ClockMillis::new(now - 2 * 3_600_000)));
    assert_eq!(caller.send(fleet.router(0), &old).outcome, UNKNOWN);
    let future = OnceCall::with_key(key_of(ClockMillis::new(now + 3_600_000)));
    assert_eq!(caller.send(fleet.router(0), &future).status, 400);
    assert!(list_runs(&fleet.fleet).expect("journals").is_empty());
    fleet.verify(&caller);
}

/// Guards against a new registrar that takes keys for new although the log no longer has their claims.
#[test]
fn lost_log_records_make_keys_unknown() {
    let mut fleet = start(1, 2, 5);
    let caller = fleet.caller("export");
    fleet.set_faults(LogFaults {
        stream: "claims-".to_owned(),
        retention_records: 1,
        ..LogFaults::default()
    });
    let first = OnceCall::new();
    assert_eq!(caller.send(fleet.router(0), &first).outcome, COMPLETED);
    let next = loop {
        let call = OnceCall::new();
        if partition_of(call.key) == partition_of(first.key) {
            break call;
        }
    };
    assert_eq!(caller.send(fleet.router(0), &next).outcome, COMPLETED);
    assert_eq!(caller.send(fleet.router(0), &first).outcome, COMPLETED);
    fleet.signal_router(0, SignalKind::Kill);
    fleet.fleet.start_router(0).expect("router starts");
    wait_for("router", SOON, || {
        caller.send(fleet.router(0), &first).outcome == UNKNOWN
    })
    .expect("key is unknown");
    wait_for("new key", SOON, || {
        caller.send(fleet.router(0), &OnceCall::new()).outcome == COMPLETED
    })
    .expect("new keys run");
    assert_eq!(count_runs(&fleet.fleet, first.key).expect("journals"), 1);
    fleet.verify(&caller);
}

/// Guards against what no single fault shows: resends while the log fails, a router pauses and a side process dies.
/// `FESCUETIDE_STORM_ROUNDS=N` makes the run longer.
#[test]
fn storm_of_resends_and_faults_runs_no_key_twice() {
    const ROUND_COUNT: u64 = 2;
    let rounds = std::env::var("FESCUETIDE_STORM_ROUNDS");
    let rounds = rounds.map_or(ROUND_COUNT, |text| text.parse().expect("a number"));
    let mut fleet = start(3, 3, 20);
    let caller = fleet.caller("export");
    let routers = fleet.fleet.router_addresses();
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for number in 0..6 {
            let (caller, routers, over) = (&caller, &routers, &over);
            scope.spawn(move || {
                while !over.load(Ordering::Acquire) {
                    let call = OnceCall {
                        patience: Duration::from_secs(20),
                        ..OnceCall::new()
                    };
                    for place in 0..3 {
                        let chat = format!("c-{}", number + place);
                        caller.send(routers[(number + place) % 3], &call.in_chat(&chat));
                    }
                }
            });
        }
        for round in 0..rounds {
            run_faults(&mut fleet, round);
        }
        over.store(true, Ordering::Release);
    });
    let counts = caller.count_outcomes();
    println!("{counts:?}");
    assert!(counts.contains_key("completed"), "{counts:?}");
    fleet.verify(&caller);
}

/// Applies one fault after the other, some of them together.
fn run_faults(fleet: &mut OnceFleet, round: u64) {
    let pause = || thread::sleep(Duration::from_millis(400));
    let claims = || LogFaults {
        stream: "claims-".to_owned(),
        ..LogFaults::default()
    };
    pause();
    fleet.set_faults(LogFaults {
        reply_lost: true,
        ..claims()
    });
    pause();
    fleet.set_faults(LogFaults {
        slow_ms: 120,
        uneven: true,
        ..claims()
    });
    fleet.signal_router((round % 3) as usize, SignalKind::Pause);
    pause();
    fleet.set_faults(LogFaults {
        down: true,
        ..claims()
    });
    fleet.signal_router((round % 3) as usize, SignalKind::Resume);
    pause();
    fleet.set_faults(LogFaults {
        appends_per_second: 20,
        ..claims()
    });
    let place = (round % 3) as usize;
    fleet.fleet.upstreams[place].side = None;
    pause();
    fleet.fleet.start_side(place).expect("side process starts");
    fleet.set_faults(LogFaults::default());
    pause();
}
