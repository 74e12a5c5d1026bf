//! Fault: gateways do not start again once a bound in their settings is a fraction.

#[path = "../tools-2/kit.rs"]
mod kit;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use kit::*;

/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY_MS: u64 = 500;

/// Time between the stops of two machines.
const GAP_MS: u64 = 2_000;

/// Number of ends by itself from which on a machine counts, and of such machines from which on the rule is broken.
const ENDS: u64 = 3;
const MACHINES: usize = 2;

fn main() {
    begin();
    let trouble = has_trouble();
    let store = Store::default();
    store.write_config(&config(3, &[route("look", "safe", "pool", 1, false)], &["pool"]));
    let state = EngineState { work_ms: 5, version: "v1".to_owned(), ..EngineState::default() };
    let engine = Engine::start("i-1", "pool", state);
    store.write_server(&engine.id, &engine.entry("ready", 1));
    let (mut fleet, ports) = start_fleet(3, &store, |fleet| fleet.iter().map(|gateway| gateway.control).collect());
    note("3 gateways are ready, with bounds.grace_s=8");

    let stops = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 4]> = Arc::default();
    let is_after = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for gateway in &fleet {
        let (front, stops) = (gateway.front, Arc::clone(&stops));
        let (counts, is_after) = (Arc::clone(&counts), Arc::clone(&is_after));
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while !stops.load(Ordering::SeqCst) {
                number += 1;
                let part = 2 * usize::from(is_after.load(Ordering::SeqCst));
                let id = format!("r-{front}-{number}");
                let answer = exchange(front, &request("GET", "/look/up", &id, 2_000, "", ""), 2_000);
                counts[part].fetch_add(1, Ordering::SeqCst);
                let is_served = answer.is_some_and(|answer| answer.status() == 200);
                counts[part + 1].fetch_add(u64::from(is_served), Ordering::SeqCst);
                sleep_ms(50);
            }
        }));
    }
    sleep_ms(3_000);

    let grace_s = if trouble { "7.5" } else { "9" };
    let bounds = Bounds { grace_s: grace_s.to_owned(), ..Bounds::default() };
    let seeds: Vec<_> = fleet.iter().map(|gateway| gateway.control).collect();
    for gateway in &fleet {
        gateway.write_settings(&seeds, &ports, &bounds);
        gateway.signal("HUP");
    }
    note(&format!("the settings change: bounds.grace_s={grace_s}; SIGHUP"));
    sleep_ms(1_000);

    let mut ends = [0_u64; 3];
    for index in 0..fleet.len() {
        let gateway = &mut fleet[index];
        gateway.signal("TERM");
        note(&format!("{} gets SIGTERM", gateway.name));
        while gateway.exit_status().is_none() {
            sleep_ms(20);
        }
        sleep_ms(RESTART_DELAY_MS);
        gateway.start();
        note(&format!("{} is started again", gateway.name));
        sleep_ms(GAP_MS);
    }
    // The platform starts processes again that end.
    let mut is_back = false;
    for _ in 0..24 {
        for (index, gateway) in fleet.iter_mut().enumerate() {
            let Some(status) = gateway.exit_status() else { continue };
            ends[index] += 1;
            let log = gateway.log();
            let last = log.lines().rev().find(|line| !line.starts_with('{')).unwrap_or("");
            note(&format!("{} has ended by itself, {status}: {last}", gateway.name));
            gateway.start();
        }
        is_back |= fleet.iter().all(|gateway| gateway.readiness() == 200);
        sleep_ms(RESTART_DELAY_MS);
        if is_back {
            break;
        }
    }
    note(&format!("all machines serve again: {is_back}"));
    is_after.store(true, Ordering::SeqCst);
    sleep_ms(5_000);
    stops.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let counts: Vec<u64> = counts.iter().map(|count| count.load(Ordering::SeqCst)).collect();
    note(&format!("until then {} of {} requests were served, after it {} of {}", counts[1], counts[0], counts[3], counts[2]));
    let broken = ends.iter().filter(|count| **count >= ENDS).count();
    note(&format!("processes ended by themselves {ends:?} times"));
    if counts[1] == 0 {
        finish(NOT_RUN);
    }
    finish(if broken >= MACHINES { BROKEN } else { HELD });
}
