//! Tests of the engine stand-in, whose behaviour the fleet tests rely on.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_standin::cache_events::CacheEvent;
use fescuetide_standin::engine::EngineLoad;
use fescuetide_standin::engine::EngineSettings;
use fescuetide_standin::engine::EngineStandIn;
use fescuetide_standin::engine::KvPrefix;
use fescuetide_standin::faults::EngineFaults;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalFile;
use fescuetide_standin::journal::read_journal;
use fescuetide_standin::orders::EngineReport;
use serde_json::Value;
use serde_json::json;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

struct TestEngine {
    address: SocketAddr,
    journal: PathBuf,
}

impl Drop for TestEngine {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.journal);
    }
}

impl TestEngine {
    /// Starts an engine on a thread of the test process and waits until it responds.
    fn start(settings: EngineSettings) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port");
        let address = listener.local_addr().expect("address");
        drop(listener);
        let name = format!("engine-{}-{}.journal", std::process::id(), address.port());
        let journal = std::env::temp_dir().join(name);
        let file = JournalFile::open("engine", Some(&journal)).expect("journal");
        let engine = EngineStandIn::new(settings, file, EngineFaults::default());
        thread::spawn(move || engine.serve(address));
        let engine = Self { address, journal };
        engine.wait_until("start", || engine.get("/health").is_ok());
        engine
    }

    fn wait_until(&self, what: &str, done: impl Fn() -> bool) {
        let start = Instant::now();
        while !done() {
            assert!(start.elapsed() < TEST_TIMEOUT, "{what} took too long");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn get(&self, path: &str) -> Result<ureq::Body, ureq::Error> {
        ureq::get(self.url(path))
            .call()
            .map(|response| response.into_body())
    }

    fn load(&self) -> EngineLoad {
        self.get("/load").expect("load").read_json().expect("load")
    }

    fn events(&self) -> Vec<CacheEvent> {
        self.get("/events?from=0")
            .expect("events")
            .read_json()
            .expect("events")
    }

    fn set_faults(&self, faults: &EngineFaults) {
        ureq::put(self.url("/faults"))
            .send_json(faults)
            .expect("faults");
    }

    fn generate(&self, id: &str, priority: u64, body: Value) -> thread::JoinHandle<String> {
        let request = ureq::post(self.url("/v1/chat/completions"))
            .header("x-request-id", id)
            .header("x-priority", priority.to_string());
        thread::spawn(move || {
            let mut response = request.send_json(&body).expect("response");
            response.body_mut().read_to_string().unwrap_or_default()
        })
    }

    fn journal(&self, event: JournalEvent) -> Vec<String> {
        let lines = read_journal(&self.journal).expect("journal");
        let lines = lines.into_iter().filter(|line| line.event == event);
        lines.map(|line| line.attempt).collect()
    }
}

fn body(words: usize, max_tokens: u32) -> Value {
    let content = (0..words)
        .map(|word| format!("w{word} "))
        .collect::<String>();
    json!({
        "model": "deck-1",
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": content }],
    })
}

fn order(engine: &TestEngine, fencing: u64, model: &str) -> u16 {
    let order = json!({ "fencing": fencing, "action": { "load_model": model } });
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let response = agent.post(engine.url("/orders")).send_json(&order);
    response.expect("order").status().as_u16()
}

/// Guards against an engine that ignores priorities, which would make tests of queueing pass by accident.
#[test]
fn requests_start_in_order_of_priority() {
    let engine = TestEngine::start(EngineSettings {
        batch_limit: 1,
        step_ms: 2,
        ..EngineSettings::default()
    });
    let paused = EngineFaults {
        paused: true,
        ..EngineFaults::default()
    };
    engine.set_faults(&paused);
    let mut callers = Vec::new();
    for (count, (id, priority)) in [("c", 30), ("a", 10), ("b", 20)].into_iter().enumerate() {
        callers.push(engine.generate(id, priority, body(4, 3)));
        engine.wait_until("arrival", || engine.load().waiting == count + 1);
    }
    engine.set_faults(&EngineFaults::default());
    for caller in callers {
        assert!(caller.join().expect("caller").contains("[DONE]"));
    }
    assert_eq!(engine.journal(JournalEvent::Start), ["a", "b", "c"]);
}

/// Guards against an engine that does not cancel running or waiting requests, so that tests of cancellation would give
/// wrong results.
#[test]
fn running_and_waiting_requests_can_be_cancelled() {
    let engine = TestEngine::start(EngineSettings {
        batch_limit: 1,
        ..EngineSettings::default()
    });
    let running = engine.generate("running", 1, body(4, 100_000));
    engine.wait_until("start", || engine.load().running == 1);
    let waiting = engine.generate("waiting", 2, body(4, 100_000));
    engine.wait_until("arrival", || engine.load().waiting == 1);
    for id in ["waiting", "running"] {
        let path = format!("/v1/requests/{id}");
        ureq::delete(engine.url(&path))
            .call()
            .expect("cancellation");
    }
    for caller in [running, waiting] {
        assert!(!caller.join().expect("caller").contains("[DONE]"));
    }
    assert_eq!(engine.journal(JournalEvent::Start), ["running"]);
    assert_eq!(
        engine.journal(JournalEvent::Cancelled),
        ["waiting", "running"]
    );
}

/// Guards against cache events without the configured delays and gaps, which readers must handle.
#[test]
fn cache_events_can_be_delayed_and_dropped() {
    let engine = TestEngine::start(EngineSettings {
        step_ms: 1,
        ..EngineSettings::default()
    });
    for words in [40, 80, 120, 160] {
        engine
            .generate("id", 1, body(words, 1))
            .join()
            .expect("caller");
    }
    let all: Vec<u64> = engine.events().iter().map(|event| event.number).collect();
    assert!(all.len() >= 4, "{all:?}");
    assert_eq!(all, (1..=all.len() as u64).collect::<Vec<_>>());
    engine.set_faults(&EngineFaults {
        event_gap_every: 2,
        ..EngineFaults::default()
    });
    let odd: Vec<u64> = engine.events().iter().map(|event| event.number).collect();
    assert!(odd.contains(&3) && !odd.contains(&2), "{odd:?}");
    engine.set_faults(&EngineFaults {
        event_lag_ms: 3_600_000,
        ..EngineFaults::default()
    });
    assert!(engine.events().is_empty());
}

/// Guards against a second engine that computes an imported prefix again.
#[test]
fn exported_prefix_is_cached_after_its_import() {
    let settings = EngineSettings {
        step_ms: 1,
        ..EngineSettings::default()
    };
    let first = TestEngine::start(settings.clone());
    let second = TestEngine::start(settings);
    first
        .generate("warm", 1, body(200, 1))
        .join()
        .expect("caller");
    let prefix: KvPrefix = ureq::post(first.url("/kv/export"))
        .send_json(body(200, 1))
        .and_then(|mut response| response.body_mut().read_json())
        .expect("export");
    assert_eq!(prefix.blocks.len(), 201 / 16);
    let import = ureq::post(second.url("/kv/import")).send_json(&prefix);
    import.expect("import");
    second
        .generate("moved", 1, body(200, 1))
        .join()
        .expect("caller");
    let lines = read_journal(&second.journal).expect("journal");
    assert_eq!(lines[0].cached_tokens, 201 / 16 * 16);
}

/// Guards against an engine that rejects or executes orders with stale fencing numbers regardless of its settings.
#[test]
fn stale_orders_are_rejected_only_when_configured() {
    for (rejects_stale_orders, status) in [(true, 409), (false, 200)] {
        let engine = TestEngine::start(EngineSettings {
            rejects_stale_orders,
            order_ms: 1,
            ..EngineSettings::default()
        });
        assert_eq!(order(&engine, 7, "deck-1"), 200);
        assert_eq!(order(&engine, 6, "deck-2"), status);
        let mut state = engine.get("/state").expect("state");
        let report: EngineReport = state.read_json().expect("state");
        assert_eq!(report.models.contains("deck-2"), !rejects_stale_orders);
        assert_eq!(report.fencing, 7);
    }
}
