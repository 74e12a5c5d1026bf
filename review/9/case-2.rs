//! DRAIN: an engine that has left gets requests from machines whose kept channel to the store was reset seconds before.

#[path = "../tools-2/kit.rs"]
mod kit;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use kit::*;

const GATEWAYS: u8 = 16;

/// Channels that clients keep to each machine.
const KEPT: usize = 4;

/// `stable_window_ms` of a small installation, and some more. After it the machines are in touch again.
const STABLE_WINDOW_MS: u64 = 3_000;
const MARGIN_MS: u64 = 100;

/// `drain_ms` of a small installation.
const DRAIN_MS: u64 = 2_000;

const ROUNDS: usize = 13;

fn engine(number: usize) -> Engine {
    let state = EngineState { work_ms: 5, version: "v1".to_owned(), ..EngineState::default() };
    Engine::start(&format!("i-{number}"), "pool", state)
}

fn main() {
    begin();
    let trouble = has_trouble();
    let store = Store::default();
    store.write_config(&config(3, &[route("look", "safe", "pool", 2, false)], &["pool"]));
    let mut serving: Vec<Engine> = (0..4).map(engine).collect();
    for engine in &serving {
        store.write_server(&engine.id, &engine.entry("ready", 1));
    }
    let (fleet, _) = start_fleet(GATEWAYS, &store, |fleet| fleet[..3].iter().map(|gateway| gateway.control).collect());
    note(&format!("{GATEWAYS} gateways are ready, {} engines serve", serving.len()));
    let stops = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for gateway in &fleet {
        for _ in 0..KEPT {
            let (front, stops, sent) = (gateway.front, Arc::clone(&stops), Arc::clone(&sent));
            callers.push(thread::spawn(move || {
                let mut channel = None;
                while !stops.load(Ordering::SeqCst) {
                    let id = format!("r-{}", sent.fetch_add(1, Ordering::SeqCst));
                    let mut reader = match channel.take() {
                        Some(reader) => reader,
                        None => match open(front, 3_000) {
                            Some(reader) => reader,
                            None => continue,
                        },
                    };
                    let request = request("GET", "/look/up", &id, 2_500, "", "");
                    if reader.stream.write_all(&request).is_ok() && reader.message().is_some() {
                        channel = Some(reader);
                    }
                    sleep_ms(100);
                }
            }));
        }
    }
    sleep_ms(5_000);

    let mut late_count = 0;
    for round in 0..ROUNDS {
        let new = engine(4 + round);
        store.write_server(&new.id, &new.entry("ready", 1));
        serving.push(new);
        // All machines have read the list with the new engine by then.
        sleep_ms(1_000);
        let reset_at = now_ms();
        if trouble {
            // Channels that go silent for good end like this when the keep-alive probes of the machines stay unanswered.
            let counts: Vec<usize> = fleet.iter().map(|gateway| gateway.store.reset_channels()).collect();
            note(&format!("round {round}: the open channels to the store are lost: {counts:?}"));
        }
        sleep_ms(STABLE_WINDOW_MS + MARGIN_MS);
        let stale = fleet.iter().filter(|gateway| gateway.store.servers_read_ms.load(Ordering::SeqCst) < reset_at).count();
        let leaving = serving.remove(0);
        store.remove_server(&leaving.id);
        let left_at = now_ms();
        note(&format!(
            "round {round}: {} leaves, its entry is removed, it serves on; {stale} machines last read the list over {STABLE_WINDOW_MS} ms ago",
            leaving.id
        ));
        sleep_ms(DRAIN_MS + 1_000);
        for arrival in &lock(&leaving.state).arrivals {
            if arrival.at_ms > left_at + DRAIN_MS {
                late_count += 1;
                note(&format!("{} gets {} {} ms after it was gone", leaving.id, arrival.id, arrival.at_ms - left_at));
            }
        }
    }
    stops.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let sent = sent.load(Ordering::SeqCst);
    note(&format!("{sent} requests were sent, {late_count} reached an engine later than {DRAIN_MS} ms after it was gone (none may)"));
    if sent < 1_000 {
        finish(NOT_RUN);
    }
    finish(if late_count > 0 { BROKEN } else { HELD });
}
