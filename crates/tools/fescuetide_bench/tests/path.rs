//! The complete path from caller to upstream, tested with real processes.

use fescuetide_base::ClassName;
use fescuetide_bench::client::CallerClient;
use fescuetide_bench::fleet::FleetProcesses;
use fescuetide_bench::fleet::FleetSettings;
use fescuetide_bench::workload::MultiTurnChat;
use fescuetide_classes::ClassTargets;
use fescuetide_wire::api::CallOutcome;

fn small_fleet() -> FleetProcesses {
    let class: ClassName = "chat".parse().expect("class name");
    let targets = ClassTargets {
        repeatable: true,
        ..ClassTargets::default()
    };
    FleetProcesses::start(FleetSettings {
        routers: 2,
        engines: 3,
        services: 1,
        classes: vec![(class, targets)],
        ..FleetSettings::default()
    })
    .expect("fleet starts")
}

/// Guards against a streamed response that hangs, is truncated or belongs to another request. An HTTP library that lost
/// wake-ups left 33 of 591 streams hanging.
#[test]
fn every_chat_turn_streams_the_whole_response() {
    let fleet = small_fleet();
    let routers = fleet.router_addresses();
    let client = CallerClient::default();
    for chat in 0..4 {
        let mut chat = MultiTurnChat::new(7, 0, chat, "chat", 100);
        for turn in 0..10 {
            let result = client.chat(routers[turn % routers.len()], &chat.next_call());
            assert_eq!(result.outcome, Some(CallOutcome::Completed), "turn {turn}");
            assert!(result.is_complete, "turn {turn}: {}", result.text);
            chat.record_answer(Some(&result.text));
        }
    }
}

/// Guards against a later turn of a chat that is sent to an engine without the cached prompt of the earlier turns.
#[test]
fn later_turn_reuses_the_cached_prompt() {
    let fleet = small_fleet();
    let routers = fleet.router_addresses();
    let client = CallerClient::default();
    let mut chat = MultiTurnChat::new(8, 1, 1, "chat", 320);
    let first = client.chat(routers[0], &chat.next_call());
    assert_eq!(first.usage.cached_tokens, 0);
    chat.record_answer(Some(&first.text));
    let second = client.chat(routers[1], &chat.next_call());
    assert!(
        second.usage.cached_tokens >= 320,
        "cached {} of {} prompt tokens",
        second.usage.cached_tokens,
        second.usage.prompt_tokens
    );
}
