//! LIMIT: gateways that do not know each other use the rate limit of an engine once each.

#[path = "../tools-2/kit.rs"]
mod kit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use kit::*;

const GATEWAYS: u8 = 4;

/// Time from the start until the engines are in need, as on a fleet that has run for a while.
const SETTLING_MS: u64 = 70_000;

/// Requests per second that an engine in need takes from all machines together.
const LIMIT: u64 = 10;

/// `stable_window_ms` of a small installation.
const STABLE_WINDOW_MS: u64 = 3_000;

/// The window of the rule, and what it allows in it: one and a half times the limit, and 5 requests.
const WINDOW_MS: u64 = 4_000;
const ALLOWED: u64 = LIMIT * WINDOW_MS / 1_000 * 3 / 2 + 5;

fn main() {
    begin();
    let trouble = has_trouble();
    let store = Store::default();
    store.write_config(&config(3, &[route("look", "safe", "pool", 1, false)], &["pool"]));
    let state = || EngineState { work_ms: 10, version: "v1".to_owned(), ..EngineState::default() };
    let engines = [Engine::start("i-1", "pool", state()), Engine::start("i-2", "pool", state())];
    for engine in &engines {
        store.write_server(&engine.id, &engine.entry("ready", 1));
    }
    let (fleet, _) = start_fleet(GATEWAYS, &store, |fleet| match trouble {
        // Nothing listens there any more.
        true => (0..3).map(|index| SocketAddr::from((machine_ip(200 + index), fleet[0].control.port()))).collect(),
        false => fleet[..3].iter().map(|gateway| gateway.control).collect(),
    });
    note(&format!("{GATEWAYS} gateways are ready, 2 engines serve; seeds are {}", if trouble { "stale" } else { "right" }));
    sleep_ms(SETTLING_MS);

    let stops = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for gateway in &fleet {
        for _ in 0..3 {
            let (front, stops, sent) = (gateway.front, Arc::clone(&stops), Arc::clone(&sent));
            callers.push(thread::spawn(move || {
                while !stops.load(Ordering::SeqCst) {
                    let id = format!("r-{}", sent.fetch_add(1, Ordering::SeqCst));
                    exchange(front, &request("GET", "/look/up", &id, 2_000, "", ""), 2_000);
                    sleep_ms(90);
                }
            }));
        }
    }
    sleep_ms(3_000);
    let named_ms = now_ms();
    for engine in &engines {
        lock(&engine.state).limit = Some(LIMIT.to_string());
    }
    note(&format!("both engines name Server-Limit: {LIMIT} in all answers from now on"));
    sleep_ms(STABLE_WINDOW_MS + 12_000);
    stops.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let mut most = 0;
    for engine in &engines {
        let state = lock(&engine.state);
        let times: Vec<u64> = state.arrivals.iter().map(|arrival| arrival.at_ms).collect();
        let from = named_ms + STABLE_WINDOW_MS;
        let mut worst = (0, 0);
        for start in times.iter().filter(|at| **at >= from) {
            let count = times.iter().filter(|at| (*start..start + WINDOW_MS).contains(*at)).count() as u64;
            worst = worst.max((count, *start));
        }
        note(&format!(
            "{}: {} requests in the 4 s from {} ms on, {ALLOWED} are allowed",
            engine.id, worst.0, worst.1
        ));
        most = most.max(worst.0);
    }
    note(&format!("{} requests were sent by clients", sent.load(Ordering::SeqCst)));
    if most == 0 {
        finish(NOT_RUN);
    }
    finish(if most > ALLOWED { BROKEN } else { HELD });
}
