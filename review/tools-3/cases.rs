//! The cases of this review that are scripts. `cases NAME FOLDER` plays one and writes `record.txt` into the folder.

mod rig;

use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rig::Answer;
use rig::BROKEN;
use rig::Engine;
use rig::Gateway;
use rig::HEARTBEAT;
use rig::HELD;
use rig::Log;
use rig::Machines;
use rig::NOT_RUN;
use rig::Record;
use rig::Request;
use rig::call;
use rig::config;
use rig::has_trouble;
use rig::limit_time;
use rig::millis;
use rig::temp_folder;
use rig::wait_ready;

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// `stable_window_ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Whether only a part of the disruption is played, to tell its parts apart.
fn plays(part: &str) -> bool {
    has_trouble() && std::env::var("ONLY").map_or(true, |only| only == part)
}

/// Time from the start of an engine until it writes its entry: half of its check-in interval, or `CHECK_IN_MS`.
fn first_check_in() -> Duration {
    let millis = std::env::var("CHECK_IN_MS").ok();
    let millis = millis.and_then(|text| text.parse().ok());
    millis.map_or(HEARTBEAT / 2, Duration::from_millis)
}

/// A small deployment.
struct Site {
    log: Log,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    folder: std::path::PathBuf,
}

impl Site {
    fn start(name: &str, record: &Record, engine_count: usize, gateway_count: usize) -> Self {
        let mut machines = Machines::new();
        let log = Log::start(&machines.add());
        log.append("keyed.op", "config", &config(7));
        let mut engines = Vec::new();
        for index in 0..engine_count {
            let ip = machines.add();
            engines.push(Engine::start(
                &ip,
                &format!("i-{index}"),
                "engines",
                &log,
                record,
            ));
        }
        let folder = temp_folder(name);
        let ips: Vec<String> = (0..gateway_count).map(|_| machines.add()).collect();
        let mut gateways = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("front-{index}");
            gateways.push(Gateway::start(&folder, &name, ip, &ips, log.address));
        }
        if !gateways.iter().all(Gateway::is_started) || !wait_ready(&gateways) {
            drop(gateways);
            record.say("the gateways did not start");
            exit(NOT_RUN);
        }
        record.line("all gateways are ready");
        Self {
            log,
            engines,
            gateways,
            folder,
        }
    }

    fn kill_all(&mut self, record: &Record) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        record.line("all gateways are killed");
    }

    fn run_all(&mut self, record: &Record) {
        for gateway in &mut self.gateways {
            gateway.run();
        }
        if !wait_ready(&self.gateways) {
            self.end(record, NOT_RUN, "the gateways did not start again");
        }
        record.line("all gateways run again and are ready");
    }

    /// Ends all processes and the script.
    fn end(&mut self, record: &Record, code: i32, text: &str) -> ! {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        record.say(text);
        exit(code);
    }
}

fn safe_request(id: String, body: &str) -> Request {
    Request {
        id,
        method: "POST",
        target: "/safe/a".to_owned(),
        body: body.to_owned(),
        time_ms: 4_000,
        ..Request::default()
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&folder);
    limit_time(Duration::from_secs(105));
    match name.as_str() {
        "doubt" => doubt(&record),
        "foreign" => foreign(&record),
        "evidence" => evidence(&record),
        "pause" => pause(&record),
        "inplace" => inplace(&record),
        _ => exit(NOT_RUN),
    }
}

/// Number of gateways, some fewer than in the larger deployments.
const GATEWAYS: usize = 16;

/// Number of streams that clients take up again, and of those that they do not break off.
const STREAMS: usize = 48;

/// Streams that clients take up again after the store came back from a copy and all gateways were started again. There is one
/// software version all the time.
fn doubt(record: &Record) {
    let mut site = Site::start("doubt", record, 3, GATEWAYS);
    thread::sleep(millis(4_000));
    record.line(&format!(
        "keys of keyed.origins: {:?}",
        site.log.keys("keyed.origins")
    ));
    let copy = site.log.copy();
    thread::sleep(millis(3_000));
    if plays("kill") {
        site.kill_all(record);
    }
    if plays("drill") {
        site.log.set_away(true);
        thread::sleep(millis(500));
        site.log.restore(&copy);
        for engine in &site.engines {
            engine.check_in();
        }
        site.log.append("keyed.op", "config", &config(7));
        site.log.set_away(false);
        record.line("the store is back from a copy that is 3 s old");
    }
    if plays("kill") {
        site.run_all(record);
    }
    // All machines are in touch again.
    thread::sleep(STABLE_WINDOW + STABLE_WINDOW + STABLE_WINDOW);
    let calls: Vec<_> = (0..2 * STREAMS)
        .map(|index| {
            let record = record.clone();
            let ports: Vec<_> = site
                .gateways
                .iter()
                .map(|gateway| gateway.callers)
                .collect();
            thread::spawn(move || {
                thread::sleep(millis(40) * index as u32);
                match index % 2 {
                    0 => begin(&record, index, &ports).is_whole,
                    _ => take_up(&record, index, &ports),
                }
            })
        })
        .collect();
    let results: Vec<bool> = calls
        .into_iter()
        .map(|call| call.join().unwrap_or(false))
        .collect();
    let count = |rest| {
        let all = results.iter().enumerate();
        all.filter(|(index, is_good)| index % 2 == rest && **is_good)
            .count()
    };
    let (begun, taken_up) = (count(0), count(1));
    let text = format!(
        "of {STREAMS} new streams {begun} ran to their end, of {STREAMS} that clients took up again {taken_up} went on"
    );
    let is_broken = taken_up * 2 < begun;
    if begun * 2 < STREAMS {
        site.end(record, NOT_RUN, &format!("too few new streams: {text}"));
    }
    site.end(record, if is_broken { BROKEN } else { HELD }, &text);
}

fn stream_request(id: String) -> Request {
    Request {
        method: "POST",
        target: "/stream/a".to_owned(),
        body: format!("{{\"of\":\"{id}\"}}"),
        id,
        time_ms: 15_000,
        fields: vec![
            ("X-Model".to_owned(), "m".to_owned()),
            ("X-Token-Count".to_owned(), "160,80".to_owned()),
        ],
    }
}

/// Lets a stream run to its end.
fn begin(record: &Record, index: usize, gateways: &[std::net::SocketAddr]) -> Answer {
    let request = stream_request(format!("new-{index}"));
    let answer = call(gateways[index / 2 % gateways.len()], &request, None);
    record.line(&format!(
        "client {}: {}, {} events, whole: {}",
        request.id,
        answer.status,
        answer.events.len(),
        answer.is_whole
    ));
    answer
}

/// Lets the channel of a stream break after some events, and takes the stream up at other machines. Returns whether it goes on to
/// its end without a gap.
fn take_up(record: &Record, index: usize, gateways: &[std::net::SocketAddr]) -> bool {
    let first = stream_request(format!("first-{index}"));
    let home = index / 2 % gateways.len();
    let answer = call(gateways[home], &first, Some(6));
    let Some(last) = answer.events.last().copied() else {
        record.line(&format!(
            "client {}: {} and no events",
            first.id, answer.status
        ));
        return false;
    };
    for attempt in 1..=3 {
        let mut request = stream_request(format!("again-{index}-{attempt}"));
        request.body.clone_from(&first.body);
        request.time_ms = 12_000;
        let fields = [
            ("Resumes", first.id.clone()),
            ("Last-Event-Id", last.to_string()),
        ];
        for (name, value) in fields {
            request.fields.push((name.to_owned(), value));
        }
        let machine = (home + attempt) % gateways.len();
        // It does not come to the machine where it began.
        let machine = if machine == home {
            (home + 1) % gateways.len()
        } else {
            machine
        };
        let answer = call(gateways[machine], &request, None);
        record.line(&format!(
            "client {} resumes {} after event {last}: {}, Retry-After {:?}, {} events, whole: {}",
            request.id,
            first.id,
            answer.status,
            answer.retry_after,
            answer.events.len(),
            answer.is_whole
        ));
        if answer.status == 200 {
            return answer.is_whole && answer.events.first() == Some(&(last + 1));
        }
        thread::sleep(Duration::from_secs_f64(
            answer.retry_after.unwrap_or(0.5).min(4.0),
        ));
    }
    false
}

/// An engine that drains, and an entry for it by another writer that lacks a field.
fn foreign(record: &Record) {
    let mut site = Site::start("foreign", record, 3, 2);
    thread::sleep(millis(3_500));
    let engine = site.engines[0].clone();
    for engine in &site.engines {
        engine.state.lock().unwrap().work = millis(60);
    }
    engine.state.lock().unwrap().is_leaving = true;
    let mut told = vec![false; site.gateways.len()];
    for index in 0..200 {
        let machine = index % site.gateways.len();
        let request = safe_request(format!("before-{index}"), "{}");
        let answer = call(site.gateways[machine].callers, &request, None);
        told[machine] |= answer.is_leaving;
        if told.iter().all(|told| *told) {
            break;
        }
    }
    if !told.iter().all(|told| *told) {
        site.end(
            record,
            NOT_RUN,
            "not every machine has passed on an answer with Server-Leaving",
        );
    }
    engine.state.lock().unwrap().state = "draining";
    engine.check_in();
    let left_at = Instant::now();
    record.line("each machine has passed on Server-Leaving of i-0, and the store has accepted that it is draining");
    thread::sleep(DRAIN + millis(1_500));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..6 {
        let machine = client % site.gateways.len();
        let address = site.gateways[machine].callers;
        let (record, stop) = (record.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let (mut sent, mut lost) = (0, 0);
            while !stop.load(Ordering::Acquire) {
                sent += 1;
                let request = Request {
                    target: "/once/a".to_owned(),
                    ..safe_request(format!("after-{client}-{sent}"), "{}")
                };
                let answer = call(address, &request, None);
                record.line(&format!("client {}: {}", request.id, answer.status));
                lost += usize::from(answer.status != 200 && answer.status != 503);
                thread::sleep(millis(20));
            }
            (sent, lost)
        }));
    }
    for round in 0..4 {
        if has_trouble() {
            let entry = engine.entry("ready", false);
            site.log.append("keyed.servers", "i-0", &entry);
            record.line(&format!("another writer: servers/i-0 = {entry}"));
        }
        let known = engine.arrivals().len();
        let start = Instant::now();
        let is_last = round == 3;
        while start.elapsed() < millis(1_700) && !(is_last && engine.arrivals().len() > known) {
            thread::sleep(millis(10));
        }
    }
    thread::sleep(millis(20));
    // It has drained for 9 s.
    engine.state.lock().unwrap().down = Duration::from_secs(1_000);
    engine.exit();
    record.line("engine i-0 exits");
    thread::sleep(millis(500));
    stop.store(true, Ordering::Release);
    let (mut sent, mut lost) = (0, 0);
    for client in clients {
        let counts = client.join().unwrap_or_default();
        sent += counts.0;
        lost += counts.1;
    }
    let arrivals = engine.arrivals();
    let is_late = |arrival: &&rig::Arrival| {
        arrival.has_run && arrival.id.starts_with("after-") && arrival.at > left_at + DRAIN
    };
    let late = arrivals.iter().filter(is_late).count();
    let text = format!(
        "{late} of {sent} unsafe requests sent later than drain_ms after i-0 was draining reached it; {lost} got no answer of an engine"
    );
    site.end(record, if late > 0 { BROKEN } else { HELD }, &text);
}

/// A request that crashes engines. The store comes back from a copy of before its crashes, and all gateways are killed some
/// seconds later.
fn evidence(record: &Record) {
    let mut site = Site::start("evidence", record, 6, 5);
    for engine in &site.engines {
        engine.state.lock().unwrap().poison = Some("poison");
    }
    thread::sleep(millis(4_000));
    let copy = site.log.copy();
    let mut sent = 0;
    let send = |site: &Site, sent: &mut usize| {
        let machine = *sent % site.gateways.len();
        let request = safe_request(format!("poison-{sent}"), "poison pill");
        let answer = call(site.gateways[machine].callers, &request, None);
        record.line(&format!(
            "client {} at front-{machine}: {}",
            request.id, answer.status
        ));
        *sent += 1;
        answer.status
    };
    let crashes = |site: &Site| {
        let engines = site.engines.iter();
        let mut all: Vec<Instant> = engines.flat_map(|engine| engine.crashes()).collect();
        all.sort();
        all
    };
    let start = Instant::now();
    while crashes(&site).len() < 3 && start.elapsed() < Duration::from_secs(20) {
        send(&site, &mut sent);
        thread::sleep(millis(700));
    }
    let Some(third) = crashes(&site).get(2).copied() else {
        site.end(record, NOT_RUN, "fewer than three crashes");
    };
    record.line("the request has crashed the third engine");
    thread::sleep(millis(1_500));
    if plays("drill") {
        site.log.set_away(true);
        thread::sleep(millis(500));
        site.log.restore(&copy);
        for engine in &site.engines {
            engine.check_in();
        }
        site.log.append("keyed.op", "config", &config(7));
        site.log.set_away(false);
        record.line("the store is back from a copy of before the crashes");
    }
    thread::sleep(millis(2_500));
    if plays("kill") {
        site.kill_all(record);
        site.run_all(record);
    }
    thread::sleep(4 * STABLE_WINDOW);
    let judged = third + STABLE_WINDOW;
    // The request comes again at all machines.
    for round in 0..20 {
        let calls: Vec<_> = (0..site.gateways.len())
            .map(|machine| {
                let (record, address) = (record.clone(), site.gateways[machine].callers);
                thread::spawn(move || {
                    let id = format!("poison-again-{round}-{machine}");
                    let request = safe_request(id, "poison pill");
                    let answer = call(address, &request, None);
                    let (id, status) = (&request.id, answer.status);
                    record.line(&format!("client {id} at front-{machine}: {status}"));
                })
            })
            .collect();
        for call in calls {
            let _ = call.join();
        }
        thread::sleep(millis(800));
    }
    let engines = site.engines.iter();
    let arrivals: Vec<_> = engines.flat_map(|engine| engine.arrivals()).collect();
    let is_late = |arrival: &&rig::Arrival| {
        arrival.has_run && arrival.id.starts_with("poison-") && arrival.at > judged
    };
    let late = arrivals.iter().filter(is_late).count();
    let text = format!(
        "{} crashes; the request reached engines {late} times later than stable_window_ms after the third",
        crashes(&site).len()
    );
    site.end(record, if late > 3 { BROKEN } else { HELD }, &text);
}

/// `Retry-After` of the engine, in seconds.
const RETRY_AFTER: &str = "4";

/// The same as a time.
const PAUSE: Duration = Duration::from_secs(4);

/// How long the engine is down.
const DOWN: Duration = Duration::from_millis(1_450);

/// How long it turns requests away after its start. What comes later it serves.
const BUSY: Duration = Duration::from_millis(300);

/// Time after which a machine must keep to the pause.
const REACTION: Duration = Duration::from_millis(500);

/// An engine that starts again under the id that it had, and turns requests away for a moment.
fn pause(record: &Record) {
    let mut site = Site::start("pause", record, 3, 4);
    thread::sleep(millis(3_500));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..4 * site.gateways.len() {
        let machine = client % site.gateways.len();
        let (address, record, stop) =
            (site.gateways[machine].callers, record.clone(), stop.clone());
        clients.push(thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::Acquire) {
                count += 1;
                let request = safe_request(format!("g{machine}-{client}-{count}"), "{}");
                let answer = call(address, &request, None);
                record.line(&format!("client {}: {}", request.id, answer.status));
                thread::sleep(millis(100));
            }
        }));
    }
    thread::sleep(millis(1_500));
    let engine = site.engines[0].clone();
    if has_trouble() {
        let mut state = engine.state.lock().unwrap();
        state.down = DOWN;
        state.first_check_in = first_check_in();
        state.turns_away_at_start = Some((BUSY, RETRY_AFTER));
        drop(state);
        engine.crash("a fault of its own");
    } else {
        thread::sleep(DOWN);
        let until = Instant::now() + BUSY;
        engine.state.lock().unwrap().turns_away = Some((until, RETRY_AFTER));
    }
    thread::sleep(DOWN + PAUSE + PAUSE);
    stop.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    let arrivals = engine.arrivals();
    let mut worst = 0;
    let mut told = 0;
    for machine in 0..site.gateways.len() {
        let prefix = format!("g{machine}-");
        let own: Vec<_> = arrivals
            .iter()
            .filter(|arrival| arrival.id.starts_with(&prefix))
            .collect();
        let Some(first) = own.iter().find(|arrival| arrival.is_turned_away) else {
            continue;
        };
        told += 1;
        let (from, until) = (first.at + REACTION, first.at + PAUSE);
        let unwanted = own
            .iter()
            .filter(|arrival| arrival.at > from && arrival.at < until);
        let unwanted = unwanted.count();
        record.line(&format!(
            "front-{machine}: {unwanted} requests in the pause"
        ));
        worst = worst.max(unwanted);
    }
    if told == 0 {
        site.end(record, NOT_RUN, "the engine turned no request away");
    }
    let text = format!(
        "{told} machines were asked for a pause of {RETRY_AFTER} s; up to {worst} requests of one came in it, 2 allowed"
    );
    site.end(record, if worst > 2 { BROKEN } else { HELD }, &text);
}

/// Number of streams that clients read while engines start again with another version.
const RELEASE_STREAMS: usize = 190;

/// How long an engine is down while it starts with another version, and time between the starts of two engines.
const RESTART: Duration = Duration::from_millis(400);
const GAP: Duration = Duration::from_millis(1_000);

/// Engines that start again, one after the other, with another version of their software, under the ids that they had.
fn inplace(record: &Record) {
    let mut site = Site::start("inplace", record, 8, 4);
    for engine in &site.engines {
        let mut state = engine.state.lock().unwrap();
        state.events = 80;
        state.event_gap = millis(50);
    }
    // The machines have their part of the retry budget 10 s after their start.
    thread::sleep(millis(11_000));
    let mut clients = Vec::new();
    for index in 0..RELEASE_STREAMS {
        let machine = index % site.gateways.len();
        let (address, record) = (site.gateways[machine].callers, record.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(millis(60) * index as u32);
            let request = stream_request(format!("stream-{index}"));
            let answer = call(address, &request, None);
            let versions = versions_of(&answer.body);
            record.line(&format!(
                "client {}: {}, {} events by {versions:?}, whole: {}",
                request.id,
                answer.status,
                answer.events.len(),
                answer.is_whole
            ));
            (!answer.events.is_empty(), versions.len() > 1)
        }));
    }
    thread::sleep(millis(2_000));
    for (index, engine) in site.engines.clone().iter().enumerate() {
        let mut state = engine.state.lock().unwrap();
        state.down = RESTART;
        state.first_check_in = first_check_in();
        state.next_version = Some("v2");
        if !has_trouble() {
            state.next_id = Some(format!("i-{index}-new"));
        }
        drop(state);
        engine.crash("the release");
        thread::sleep(GAP);
    }
    let results = clients
        .into_iter()
        .map(|client| client.join().unwrap_or_default());
    let results: Vec<(bool, bool)> = results.collect();
    let begun = results.iter().filter(|(has_events, _)| *has_events).count();
    let mixed = results.iter().filter(|(_, is_mixed)| *is_mixed).count();
    if begun * 2 < RELEASE_STREAMS {
        site.end(record, NOT_RUN, "too few streams began");
    }
    let text =
        format!("{mixed} of {begun} streams hold events of two software versions, 2 allowed");
    site.end(record, if mixed > 2 { BROKEN } else { HELD }, &text);
}

/// The versions whose events are in a stream, one after the other.
fn versions_of(body: &str) -> Vec<String> {
    let data = body.lines().filter(|line| line.starts_with("data: "));
    let mut versions: Vec<String> = data
        .filter_map(|line| line.rsplit(' ').next())
        .map(str::to_owned)
        .collect();
    versions.dedup();
    versions
}
