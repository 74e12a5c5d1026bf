//! Later turns of a chat go to the engine that ran the previous turn.

use fescuetide_base::ClassName;
use fescuetide_bench::client::CallerClient;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::probe::StatusProbe;
use fescuetide_bench::process::wait_for;
use fescuetide_bench::workload::MultiTurnChat;
use fescuetide_classes::ClassTargets;
use fescuetide_wire::api::CallOutcome;
use std::time::Duration;

/// Guards against joining engines that take over chats whose prefix another engine has cached. By rank alone, about
/// half of the chats would move when the pool doubles.
#[test]
fn joining_engines_do_not_take_over_chats() {
    let class: ClassName = "chat".parse().expect("class name");
    let targets = ClassTargets {
        repeatable: true,
        ..ClassTargets::default()
    };
    let mut fleet = FleetProcesses::start(FleetSettings {
        routers: 1,
        engines: 2,
        services: 0,
        classes: vec![(class, targets)],
        ..FleetSettings::default()
    })
    .expect("fleet starts");
    let router = fleet.router_addresses()[0];
    let client = CallerClient::default();
    let mut chats = Vec::new();
    for number in 0..8 {
        chats.push(MultiTurnChat::new(7, number, number, "chat", 64));
    }
    for chat in &mut chats {
        let result = client.chat(router, &chat.next_call());
        assert_eq!(result.outcome, Some(CallOutcome::Completed));
        chat.record_answer(Some(&result.text));
    }
    for index in 2..4 {
        fleet.add_upstream("engine", index).expect("engine starts");
        fleet.wait_upstream(index).expect("engine answers");
    }
    fleet.publish_vm_list().expect("list is published");
    let probe = StatusProbe::new().expect("probe");
    wait_for("news of the new engines", Duration::from_secs(30), || {
        let status = probe.router(fleet.routers[0].vm.control);
        status.is_ok_and(|status| status.vm_count == 5)
    })
    .expect("router learns of the new engines");
    for chat in &mut chats {
        let result = client.chat(router, &chat.next_call());
        let cached = result.usage.cached_tokens;
        assert!(cached >= 64, "only {cached} prompt tokens were cached");
    }
}
