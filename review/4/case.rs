//! A release replaces all engines by those of another version. A minute after the last old one has gone, the store is down for some
//! seconds. Later two gateways are killed and started again, one after the other. Clients take up the streams of the second at the
//! first, which is in touch again. Only one version has served for more than a minute, so the streams must go on.

#[path = "../tools/kit.rs"]
mod kit;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use kit::*;

const ENGINES: usize = 3;

/// Events of a stream, and the pause between two of them. A stream lasts 6 s.
const EVENTS: usize = 60;
const PAUSE_MS: u64 = 100;

/// Streams that are in progress at the second gateway when it is killed, and new streams at the first one meanwhile.
const STREAMS: usize = 24;

/// When the store goes down, after the last engine of the old version was removed, and for how long: 4.5 s, as the site files have
/// it for `platform_down`.
const OUTAGE_AFTER: Duration = Duration::from_millis(58_500);
const OUTAGE: Duration = Duration::from_millis(4_500);

/// `stable_window_ms`, and some time more.
const IN_TOUCH: Duration = Duration::from_millis(4_000);

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"r-draft","host":"app.example","path_prefix":"/draft/","kind":"stream","timeout_ms":15000,"slo_ms":800,"priority":1,
"service":"pool","attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":300}],
"services":[{"name":"pool","health_path":"/health","max_conns":620,"protocol":"h1","tls":false}],
"limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"studio","api_keys":["key-one"],"priority":2}]}"#;

fn start_engine(store: &Store, record: &Record, id: &str, version: &str) -> Engine {
    let record = record.clone();
    Engine::start_version(store, id, "pool", 64, version, move |request, writer| {
        let id = request.id().to_owned();
        let last = request.head.get("Last-Event-Id");
        let from: usize = last.and_then(|last| last.parse().ok()).unwrap_or(0);
        record.note(&format!("engine {} runs {id} from event {}", request.engine, from + 1));
        writer.begin_stream(&id, &format!("sig.{}.{id}", request.engine))?;
        for number in from + 1..=EVENTS {
            writer.chunk(&format!("id: {number}\ndata: piece {number}\n\n"))?;
            sleep_ms(PAUSE_MS);
        }
        writer.end_stream()?;
        Ok(Next::Keep)
    })
}

/// What became of a stream: the answer to the first request, and whether it went on when it was taken up.
#[derive(Default)]
struct Outcome {
    has_begun: bool,
    is_whole: bool,
    has_gone_on: Option<bool>,
}

fn count_events(body: &[u8]) -> usize {
    String::from_utf8_lossy(body).matches("\n\n").count()
}

/// Sends a stream request to `first` and, if the answer breaks off, takes the stream up at `second`.
fn run_client(record: &Record, id: &str, first: std::net::SocketAddr, second: std::net::SocketAddr) -> Outcome {
    let mut outcome = Outcome::default();
    let extra = format!("X-Model: m\r\nX-Token-Count: 100,80\r\nX-Prefix-Hash: a{id}:40,b{id}:40\r\n");
    let Ok(mut client) = Client::connect(first) else {
        return outcome;
    };
    let seen = client.call(&post("/draft/1", id, 15_000, &extra, "plan"), Duration::from_secs(15));
    record.note(&format!("client: {id}: {}", seen.describe()));
    let Seen::Answer { status: 200, body, is_whole, .. } = seen else {
        return outcome;
    };
    outcome.has_begun = true;
    outcome.is_whole = is_whole;
    if is_whole {
        return outcome;
    }
    let events = count_events(&body);
    let extra = format!("{extra}Last-Event-Id: {events}\r\nResumes: {id}\r\n");
    outcome.has_gone_on = Some(false);
    // The client retries a few times and honours `Retry-After`.
    for number in 1..=3 {
        let own = format!("{id}-again-{number}");
        let Ok(mut client) = Client::connect(second) else {
            sleep_ms(200);
            continue;
        };
        let seen = client.call(&post("/draft/1", &own, 10_000, &extra, "plan"), Duration::from_secs(10));
        record.note(&format!("client: {id} is taken up after event {events} as {own}: {}", seen.describe()));
        if seen.status() == Some(200) {
            outcome.has_gone_on = Some(true);
            break;
        }
        let Seen::Answer { head, .. } = &seen else {
            continue;
        };
        let delay: f64 = head.get("Retry-After").and_then(|text| text.parse().ok()).unwrap_or(0.2);
        thread::sleep(Duration::from_secs_f64(delay.min(3.0)));
    }
    outcome
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let store = Store::new();
    store.put_config(CONFIG);
    let mut old = Vec::new();
    for index in 0..ENGINES {
        old.push(start_engine(&store, &record, &format!("i-old-{index}"), "v1"));
    }
    let doors = [store.door(), store.door()];
    let mut plans = [
        GatewayPlan::new("front-a-1", doors[0].address),
        GatewayPlan::new("front-a-2", doors[1].address),
    ];
    let seeds = vec![plans[0].control, plans[1].control];
    for plan in &mut plans {
        plan.seeds = seeds.clone();
    }
    let mut gateways: Vec<Gateway> = plans.iter().map(Gateway::start).collect();
    let are_ready = |gateways: &[Gateway]| gateways.iter().all(|gateway| gateway.wait_ready(15));
    if !are_ready(&gateways) {
        gateways.clear();
        finish(&record, 2, "a gateway is not ready");
    }
    sleep_ms(4_000);
    record.note("release: engines of version v2 start, those of v1 drain and leave");
    let mut new = Vec::new();
    for index in 0..ENGINES {
        new.push(start_engine(&store, &record, &format!("i-new-{index}"), "v2"));
    }
    sleep_ms(2_500);
    for engine in &old {
        engine.set_state(&store, Some("draining"));
    }
    sleep_ms(2_500);
    for engine in &old {
        engine.set_state(&store, None);
        engine.crash();
    }
    let gone_at = Instant::now();
    record.note("the last engine of v1 has gone");
    thread::sleep(OUTAGE_AFTER);
    if has_trouble() {
        record.note("the store is down");
        for door in &doors {
            door.set(StoreMode::Silent);
        }
    }
    thread::sleep(OUTAGE);
    for door in &doors {
        door.set(StoreMode::Up);
    }
    record.note(&format!("the store is up, {} ms after v1 has gone", gone_at.elapsed().as_millis()));
    sleep_ms(1_000);
    record.note("an engine of v2 is added");
    new.push(start_engine(&store, &record, "i-added", "v2"));
    sleep_ms(4_000);
    record.note("gateway 1 is killed and starts again");
    gateways[0].kill();
    sleep_ms(600);
    gateways[0] = Gateway::start(&plans[0]);
    if !gateways[0].wait_ready(10) {
        gateways.clear();
        finish(&record, 2, "gateway 1 is not ready again");
    }
    thread::sleep(IN_TOUCH);
    let outcomes = Arc::<Mutex<Vec<(bool, Outcome)>>>::default();
    let mut threads = Vec::new();
    let (one, two) = (gateways[0].callers, gateways[1].callers);
    for number in 0..2 * STREAMS {
        let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
        let is_taken_up = number % 2 == 0;
        threads.push(thread::spawn(move || {
            let outcome = match is_taken_up {
                true => run_client(&record, &format!("req-{number}"), two, one),
                false => {
                    sleep_ms(2_500);
                    run_client(&record, &format!("new-{number}"), one, one)
                }
            };
            outcomes.lock().unwrap().push((is_taken_up, outcome));
        }));
    }
    sleep_ms(2_000);
    record.note("gateway 2 is killed and starts again");
    gateways[1].kill();
    sleep_ms(600);
    gateways[1] = Gateway::start(&plans[1]);
    for thread in threads {
        thread.join().expect("a client ends");
    }
    for gateway in &mut gateways {
        gateway.kill();
    }
    let outcomes = outcomes.lock().unwrap();
    let is_tried = |outcome: &&(bool, Outcome)| outcome.0 && outcome.1.has_gone_on.is_some();
    let taken_up = outcomes.iter().filter(is_tried).count();
    let gone_on = outcomes.iter().filter(|(_, outcome)| outcome.has_gone_on == Some(true)).count();
    let begun = outcomes.iter().filter(|(is_taken_up, outcome)| !is_taken_up && outcome.has_begun).count();
    if taken_up < 12 || begun < STREAMS / 2 {
        finish(&record, 2, &format!("{taken_up} streams were taken up, and {begun} new ones began"));
    }
    let gone_on_share = gone_on as f64 / taken_up as f64;
    let begun_share = begun as f64 / STREAMS as f64;
    let text = format!("{gone_on} of {taken_up} streams that were taken up went on, {begun} of {STREAMS} new ones began");
    finish(&record, i32::from(gone_on_share < begun_share / 2.0), &text);
}
