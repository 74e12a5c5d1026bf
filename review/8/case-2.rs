//! ORDER: streams that began at one software version go on at another one.

#[path = "../tools-2/kit.rs"]
mod kit;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use kit::*;

const STREAMS: usize = 24;
const EVENTS: u64 = 40;

/// Time for which the store turns one machine away. The pages play up to 9 s, for up to 0.35 of the machines.
const TURNED_AWAY_MS: u64 = 8_500;

/// Time from the start until the disruption, as on a fleet that has run for a while.
const SETTLING_MS: u64 = 70_000;

/// A path between a client and a machine, whose channels can be reset.
struct Path {
    address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Path {
    fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let channels = Arc::clone(&open);
        thread::spawn(move || {
            for client in listener.incoming() {
                let (Ok(client), Ok(machine)) = (client, TcpStream::connect(target)) else { continue };
                for (from, to) in [(&client, &machine), (&machine, &client)] {
                    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { continue };
                    lock(&channels).extend(from.try_clone());
                    let _ = to.set_nodelay(true);
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Both);
                    });
                }
            }
        });
        Self { address, open }
    }

    fn break_channels(&self) {
        for channel in lock(&self.open).drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }
}

/// What a client got of one stream, over its tries.
#[derive(Clone, Debug, Default)]
struct Received {
    status: u16,
    last_event: u64,
    versions: BTreeSet<String>,
    is_complete: bool,
}

/// Reads events until the answer ends.
fn read_events(reader: &mut Reader, received: &mut Received) {
    let Some(head) = reader.head() else { return };
    received.status = head.status();
    if head.status() != 200 {
        return;
    }
    let mut text = String::new();
    while let Some(piece) = reader.chunk() {
        if piece.is_empty() {
            received.is_complete = true;
            return;
        }
        text.push_str(&String::from_utf8_lossy(&piece));
        while let Some((event, rest)) = text.split_once("\n\n") {
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    received.last_event = id.parse().unwrap_or(0);
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    received.versions.insert(data.split(' ').next().unwrap_or("").to_owned());
                }
            }
            text = rest.to_owned();
        }
    }
}

fn call(address: SocketAddr, id: &str, more: &str, mut received: Received) -> Received {
    received.status = 0;
    let Some(mut reader) = open(address, 8_000) else { return received };
    let request = request("POST", "/chat/say", id, 12_000, more, "hello");
    if reader.stream.write_all(&request).is_ok() {
        read_events(&mut reader, &mut received);
    }
    received
}

fn engine(id: &str, version: &str) -> Engine {
    let state = EngineState { version: version.to_owned(), events: EVENTS, gap_ms: 60, work_ms: 20, ..EngineState::default() };
    Engine::start(id, "pool", state)
}

fn main() {
    begin();
    let trouble = has_trouble();
    let store = Store::default();
    store.write_config(&config(3, &[route("chat", "stream", "pool", 2, true)], &["pool"]));
    let old = [engine("i-old-1", "v1"), engine("i-old-2", "v1")];
    for engine in &old {
        store.write_server(&engine.id, &engine.entry("ready", 1));
    }
    let (fleet, _) = start_fleet(3, &store, |fleet| match trouble {
        // Nothing listens there any more.
        true => (0..3).map(|index| SocketAddr::from((machine_ip(200 + index), fleet[0].control.port()))).collect(),
        false => fleet.iter().map(|gateway| gateway.control).collect(),
    });
    note("3 gateways are ready, 2 engines of version v1 serve");
    sleep_ms(SETTLING_MS);
    let away = &fleet[2];
    if trouble {
        away.store.turn_away(true);
        note(&format!("the store turns {} away (503) for {TURNED_AWAY_MS} ms and serves the others", away.name));
    }
    let away_since = now_ms();
    sleep_ms(300);
    let new = [engine("i-new-1", "v2"), engine("i-new-2", "v2")];
    for engine in &new {
        store.write_server(&engine.id, &engine.entry("ready", 1));
    }
    note("2 engines of version v2 are added");
    sleep_ms(3_500);

    let path = Path::new(fleet[0].front);
    let mut callers = Vec::new();
    for index in 0..STREAMS {
        let address = path.address;
        callers.push(thread::spawn(move || call(address, &format!("first-{index}"), "", Received::default())));
        sleep_ms(10);
    }
    sleep_ms(900);
    path.break_channels();
    note(&format!("the channels of {STREAMS} clients to {} are reset", fleet[0].name));
    let first: Vec<Received> = callers.into_iter().map(|caller| caller.join().unwrap_or_default()).collect();

    let mut callers = Vec::new();
    for (index, received) in first.into_iter().enumerate() {
        let address = away.front;
        callers.push(thread::spawn(move || {
            let more = format!("Last-Event-Id: {}\r\nResumes: first-{index}\r\n", received.last_event);
            let before = received.clone();
            (before, call(address, &format!("second-{index}"), &more, received))
        }));
    }
    note(&format!("the clients take their streams up at {}", away.name));
    let (mut joined, mut gone_on, mut refused) = (0, 0, 0);
    for (index, caller) in callers.into_iter().enumerate() {
        let (before, after) = caller.join().unwrap_or_default();
        note(&format!(
            "stream {index}: first {} {:?} up to event {}, then {} {:?} up to event {}, complete: {}",
            before.status, before.versions, before.last_event, after.status, after.versions, after.last_event, after.is_complete
        ));
        joined += usize::from(after.versions.len() > 1);
        gone_on += usize::from(after.status == 200);
        refused += usize::from(after.status == 503);
    }
    if trouble {
        let left = (away_since + TURNED_AWAY_MS).saturating_sub(now_ms());
        sleep_ms(left);
        away.store.turn_away(false);
        note(&format!("the store serves {} again, after {} ms", away.name, now_ms() - away_since));
    }
    note(&format!("{gone_on} streams go on, {refused} are refused, {joined} have events of two versions (2 are allowed)"));
    if gone_on + refused < STREAMS / 2 {
        finish(NOT_RUN);
    }
    finish(if joined > 2 { BROKEN } else { HELD });
}
