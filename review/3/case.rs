//! A faulty engine truncates some of its streams inside an event and ends the body. A stream that ends inside an event has been
//! broken off, so it must go on at another engine, or must not look complete.

#[path = "../tools/kit.rs"]
mod kit;

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use kit::*;

const CLIENTS: usize = 12;
const REQUESTS: usize = 40;

/// Events of a stream, and the pause between two of them.
const EVENTS: usize = 20;
const PAUSE_MS: u64 = 10;

/// One answer in this many of the faulty engine is truncated: 2 in 100, the dose of `garble` in the site file.
const TRUNCATED_EVERY: usize = 50;

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-draft","host":"app.example","path_prefix":"/draft/","kind":"stream","timeout_ms":15000,"slo_ms":800,"priority":1,
"service":"pool","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":300}],
"services":[{"name":"pool","health_path":"/health","max_conns":620,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"studio","api_keys":["key-one"],"priority":2}]}"#;

fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn start_engine(store: &Store, record: &Record, id: &str, is_faulty: bool) -> Engine {
    let answers = AtomicUsize::new(0);
    let record = record.clone();
    Engine::start(store, id, "pool", 64, move |request, writer| {
        let id = request.id().to_owned();
        let last = request.head.get("Last-Event-Id");
        let from: usize = last.and_then(|last| last.parse().ok()).unwrap_or(0);
        let number = answers.fetch_add(1, Ordering::SeqCst);
        let is_truncated = has_trouble() && is_faulty && number % TRUNCATED_EVERY == TRUNCATED_EVERY / 2;
        record.note(&format!("engine {} runs {id} from event {}", request.engine, from + 1));
        writer.begin_stream(&id, &format!("sig.{}.{id}", request.engine))?;
        for number in from + 1..=EVENTS {
            if is_truncated && number > EVENTS / 2 {
                let text = event(number);
                writer.chunk(&text[..text.len() / 2])?;
                writer.stream.flush()?;
                record.note(&format!("engine {} truncates {id} inside event {number}", request.engine));
                break;
            }
            writer.chunk(&event(number))?;
            sleep_ms(PAUSE_MS);
        }
        writer.end_stream()?;
        Ok(Next::Keep)
    })
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let store = Store::new();
    store.put_config(CONFIG);
    let mut engines = Vec::new();
    for index in 0..4 {
        // One of four: below the share of 0.35 in the site file.
        engines.push(start_engine(&store, &record, &format!("i-{index}"), index == 0));
    }
    let plan = GatewayPlan::new("front-a-1", store.door().address);
    let mut gateway = Gateway::start(&plan);
    if !gateway.wait_ready(20) {
        gateway.kill();
        finish(&record, 2, "the gateway is not ready");
    }
    // A gateway that starts has no burst of retries for 10 s.
    sleep_ms(11_000);
    let whole: String = (1..=EVENTS).map(event).collect();
    let broken = Arc::<Mutex<Vec<String>>>::default();
    let mut threads = Vec::new();
    for lane in 0..CLIENTS {
        let (record, address) = (record.clone(), gateway.callers);
        let (whole, broken) = (whole.clone(), Arc::clone(&broken));
        threads.push(thread::spawn(move || {
            let mut served = 0;
            for number in 0..REQUESTS {
                let id = format!("req-{lane}-{number}");
                let extra = format!("X-Model: m\r\nX-Token-Count: 100,80\r\nX-Prefix-Hash: a{number}:40,b{lane}{number}:40\r\n");
                let message = post("/draft/1", &id, 15_000, &extra, "plan");
                let seen = match Client::connect(address) {
                    Ok(mut client) => client.call(&message, Duration::from_secs(15)),
                    Err(error) => Seen::NoAnswer(error.to_string()),
                };
                record.note(&format!("client: {id}: {}", seen.describe()));
                let Seen::Answer { status: 200, body, is_whole: true, .. } = seen else {
                    continue;
                };
                served += 1;
                if body != whole.as_bytes() {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let tail = text.rsplit("\n\n").next().unwrap_or("").to_owned();
                    record.note(&format!("{id} ended as complete with {} of {EVENTS} events and then {tail:?}", text.matches("\n\n").count()));
                    broken.lock().unwrap().push(id);
                }
            }
            served
        }));
    }
    let mut served = 0;
    for thread in threads {
        served += thread.join().expect("a client ends");
    }
    gateway.kill();
    if served < CLIENTS * REQUESTS / 2 {
        finish(&record, 2, "too few streams were served");
    }
    let count = broken.lock().unwrap().len();
    let text = format!("{count} of {served} streams ended as complete before their last piece");
    finish(&record, i32::from(count > 0), &text);
}
