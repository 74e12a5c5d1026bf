//! Half of the channels of one gateway are reset. A second later an engine leaves: its entry is removed. The gateway must stop
//! sending there within `drain_ms`.

#[path = "../tools/kit.rs"]
mod kit;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::*;

/// Number of gateways. One of ten is disturbed: `reset_conns` has a share of 0.1.
const GATEWAYS: usize = 10;

/// Engines that serve at a time.
const ENGINES: usize = 4;

const ROUNDS: usize = 8;

/// Time between the reset and the removal of the engine's entry.
const RESET_BEFORE: Duration = Duration::from_millis(1_000);

/// Bounds of the installation: `drain_ms` and `stable_window_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// How long the engine serves after its entry was removed: `drain_ms` and a little longer.
const LINGER: Duration = Duration::from_millis(5_000);

/// Pause between two requests of the client of a gateway.
const PAUSE_MS: u64 = 15;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-write","host":"app.example","path_prefix":"/write/","kind":"unsafe","timeout_ms":1200,"slo_ms":150,"priority":2,
"service":"booking","attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"booking","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"studio","api_keys":["key-one"],"priority":2}]}"#;

/// A request that reached an engine: which, from which gateway, when the client sent it, and when it arrived.
struct Arrival {
    engine: String,
    gateway: usize,
    arrived: Instant,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

fn start_engine(store: &Store, id: &str, arrivals: &Arrivals) -> Engine {
    let arrivals = Arc::clone(arrivals);
    Engine::start(store, id, "booking", 24, move |request, writer| {
        let id = request.id().to_owned();
        let gateway = id.split('-').nth(1).and_then(|text| text.parse().ok());
        arrivals.lock().unwrap().push(Arrival {
            engine: request.engine.clone(),
            gateway: gateway.unwrap_or(0),
            arrived: Instant::now(),
        });
        sleep_ms(5);
        let extra = format!("X-Response-Signature: sig.{id}\r\n");
        writer.answer(200, &id, &extra, b"booked")?;
        Ok(Next::Keep)
    })
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let store = Store::new();
    store.put_config(CONFIG);
    let arrivals = Arrivals::default();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(start_engine(&store, &format!("i-{index}"), &arrivals));
    }
    let mut gateways = Vec::new();
    let mut doors = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..GATEWAYS {
        let door = store.door();
        let mut plan = GatewayPlan::new(&format!("front-a-{index}"), door.address);
        if seeds.len() < 3 {
            seeds.push(plan.control);
        }
        plan.seeds = seeds.clone();
        gateways.push(Gateway::start(&plan));
        doors.push(door);
    }
    for gateway in &gateways {
        if !gateway.wait_ready(20) {
            for gateway in &mut gateways {
                gateway.kill();
            }
            finish(&record, 2, "a gateway is not ready");
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        let (address, is_over) = (gateway.callers, Arc::clone(&is_over));
        clients.push(thread::spawn(move || {
            let mut kept: Option<Client> = None;
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("req-{index}-{number}");
                let message = post("/write/1", &id, 2_500, "", "one booking");
                if let Some(mut client) = kept.take().or_else(|| Client::connect(address).ok()) {
                    let seen = client.call(&message, Duration::from_millis(2_500));
                    if seen.status() == Some(200) {
                        kept = Some(client);
                    }
                }
                sleep_ms(PAUSE_MS);
            }
        }));
    }
    // The gateways find each other, and calm days begin.
    sleep_ms(8_000);
    let mut late_count = 0;
    for round in 0..ROUNDS {
        let disturbed = round % GATEWAYS;
        let reset_at = Instant::now();
        if has_trouble() {
            record.note(&format!("channels of gateway {disturbed} to the store are reset"));
            doors[disturbed].reset_channels();
        }
        thread::sleep(RESET_BEFORE);
        let leaving = engines.remove(0);
        leaving.set_state(&store, None);
        let removed_at = Instant::now();
        record.note(&format!("the store has confirmed that {} is gone", leaving.id));
        engines.push(start_engine(&store, &format!("i-{}", ENGINES + round), &arrivals));
        thread::sleep(LINGER);
        let mut latest = Duration::ZERO;
        let mut late = 0;
        for arrival in arrivals.lock().unwrap().drain(..) {
            if arrival.engine != leaving.id || arrival.arrived < removed_at {
                continue;
            }
            let is_in_touch = arrival.gateway != disturbed || arrival.arrived >= reset_at + STABLE_WINDOW;
            let after = arrival.arrived - removed_at;
            latest = latest.max(after);
            // The client sent the request just before, on loopback.
            if after > DRAIN && is_in_touch {
                late += 1;
                record.note(&format!(
                    "a request reached {} from gateway {} {} ms after that",
                    leaving.id,
                    arrival.gateway,
                    after.as_millis()
                ));
            }
        }
        late_count += late;
        record.note(&format!("round {round}: the last request reached {} after {} ms", leaving.id, latest.as_millis()));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client ends");
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    let text = format!("{late_count} requests reached an engine later than {} ms after it was gone", DRAIN.as_millis());
    finish(&record, i32::from(late_count > 0), &text);
}
