//! Stand-ins for the platform's log, engines and clients, and the start of real gateways, for the scripts of this review.
//! Only the standard library is used. All addresses are loopback addresses.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Check-in interval of engines, as in the settings of the platform.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Ports of a gateway, the same on all machines, each of which has an address of its own.
const CALLERS_PORT: u16 = 18_227;
const READY_PORT: u16 = 18_220;
const PEERS_PORT: u16 = 18_229;
const METRICS_PORT: u16 = 19_464;
const LOAD_PORT: u16 = 17_340;

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Writes what was sent, answered and run to `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let path = PathBuf::from(folder).join("record.txt");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("record.txt can be written"),
            )),
        }
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// The same, and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---- HTTP ----

pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(own, _)| own.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

/// A connection with a buffer of what was read and not used.
pub struct Wire {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            input: Vec::new(),
        }
    }

    fn fill(&mut self) -> bool {
        let mut buffer = [0; 16 * 1_024];
        match self.stream.read(&mut buffer) {
            Ok(count) if count > 0 => {
                self.input.extend_from_slice(&buffer[..count]);
                true
            }
            _ => false,
        }
    }

    /// Reads a head, `None` if the connection ends.
    pub fn read_head(&mut self) -> Option<Head> {
        loop {
            let end = self.input.windows(4).position(|part| part == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let mut fields = Vec::new();
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        fields.push((name.trim().to_owned(), value.trim().to_owned()));
                    }
                }
                return Some(Head { first, fields });
            }
            if !self.fill() {
                return None;
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.input.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.input.drain(..length).collect())
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.input.windows(2).position(|part| part == b"\r\n") {
                let line = self.input.drain(..end + 2).collect::<Vec<u8>>();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads a chunk, empty at the end of the body, `None` if the connection ends.
    fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let data = self.read_exact(size)?;
        self.read_line()?;
        Some(data)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Reads the body of a request.
fn read_request_body(wire: &mut Wire, head: &Head) -> Option<Vec<u8>> {
    let length = head
        .field("Content-Length")
        .and_then(|text| text.parse().ok());
    wire.read_exact(length.unwrap_or(0))
}

fn query_of<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| match pair.split_once('=') {
            Some((key, value)) if key == name => Some(value),
            _ => None,
        })
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = (bytes[index] == b'%')
            .then(|| text.get(index + 1..index + 3))
            .flatten()
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(LETTERS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---- The platform's log ----

#[derive(Clone, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, key: &str, value: Vec<u8>) {
        let offset = self.records.len() as u64;
        self.records.push((key.to_owned(), value.clone()));
        match value.is_empty() {
            true => self.newest.remove(key),
            false => self.newest.insert(key.to_owned(), (value, offset)),
        };
    }
}

/// A copy of all topics.
#[derive(Clone, Default)]
pub struct Copy(HashMap<String, Topic>);

#[derive(Default)]
struct LogState {
    topics: HashMap<String, Topic>,
    is_away: bool,
    era: u64,
}

/// A log service with keyed topics. Its era is in all answers.
#[derive(Clone)]
pub struct Log {
    pub address: SocketAddr,
    shared: Arc<(Mutex<LogState>, Condvar)>,
}

impl Log {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().unwrap();
        let log = Self {
            address,
            shared: Arc::default(),
        };
        log.shared.0.lock().unwrap().era = 1;
        let server = log.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Wire::new(stream)));
            }
        });
        log
    }

    pub fn append(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.append(key, value.as_bytes().to_vec());
        self.shared.1.notify_all();
    }

    /// The keys in a topic.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        let topic = state.topics.get(topic);
        topic.map_or_else(Vec::new, |topic| topic.newest.keys().cloned().collect())
    }

    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().topics.clone())
    }

    pub fn set_away(&self, is_away: bool) {
        self.shared.0.lock().unwrap().is_away = is_away;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy: what was appended since is gone, and the era rises by one.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.shared.0.lock().unwrap();
        state.topics = copy.0.clone();
        state.era += 1;
        self.shared.1.notify_all();
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(head) = wire.read_head() {
            let Some(body) = read_request_body(&mut wire, &head) else {
                return;
            };
            let (status, body) = self.answer(head.word(1), &body);
            let era = self.shared.0.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} S\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut message = text.into_bytes();
            message.extend_from_slice(&body);
            if !wire.write(&message) {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        if self.shared.0.lock().unwrap().is_away {
            return (503, b"{}".to_vec());
        }
        let topic = query_of(target, "topic").unwrap_or("").to_owned();
        let path = target.split('?').next().unwrap_or("");
        match path {
            "/v1/log-newest" => self.list(&topic, target),
            "/v1/log-read" => self.read(&topic, target),
            "/v1/log-append" => self.append_body(&topic, target, body),
            _ => (404, b"{}".to_vec()),
        }
    }

    fn list(&self, topic: &str, target: &str) -> (u16, Vec<u8>) {
        let after = percent_decode(query_of(target, "after").unwrap_or(""));
        let state = self.shared.0.lock().unwrap();
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (value, offset)) in &topic.newest {
            if !after.is_empty() && *key <= after {
                continue;
            }
            if items.len() == 500 {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let end = topic.records.len();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"end_offset\":{end}}}",
            items.join(",")
        );
        (200, text.into_bytes())
    }

    fn read(&self, topic: &str, target: &str) -> (u16, Vec<u8>) {
        let number = |name| query_of(target, name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let deadline = Instant::now() + millis(number("wait_ms").unwrap_or(0));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.is_away {
                return (503, b"{}".to_vec());
            }
            let end = state
                .topics
                .get(topic)
                .map_or(0, |topic| topic.records.len());
            if from > end {
                return (410, b"{\"first_offset\":0}".to_vec());
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        let empty = Topic::default();
        let topic = state.topics.get(topic).unwrap_or(&empty);
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in &topic.records[from..] {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (200, body)
    }

    fn append_body(&self, name: &str, target: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
        if name == "keyed.op" || name == "keyed.servers" {
            return (403, b"{}".to_vec());
        }
        let at = query_of(target, "at").and_then(|text| text.parse::<usize>().ok());
        let mut state = self.shared.0.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"end_offset\":{offset}}}").into_bytes());
        }
        while body.len() > 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key_length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
            topic.append(&key, record[1 + key_length..].to_vec());
            body = &body[4 + length..];
        }
        let end = topic.records.len();
        self.shared.1.notify_all();
        let text = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
        (200, text.into_bytes())
    }
}

// ---- Engines ----

/// A request that an engine got, as it was when it arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    pub has_run: bool,
    /// Whether it was turned away with 503 and `Retry-After`.
    pub is_turned_away: bool,
}

/// What an engine does. Fields may be changed while it runs.
pub struct EngineState {
    pub id: String,
    pub version: String,
    pub state: &'static str,
    pub is_leaving: bool,
    /// Whether it writes its entry to the log.
    pub checks_in: bool,
    /// Time that a request takes that is no stream.
    pub work: Duration,
    pub events: u64,
    pub event_gap: Duration,
    pub first_pause: Duration,
    /// Requests whose body begins so crash it. It is back after `down`.
    pub poison: Option<&'static str>,
    pub down: Duration,
    /// Time from its next start until it writes its entry, less than the check-in interval.
    pub first_check_in: Duration,
    /// The version of its software from its next start on.
    pub next_version: Option<&'static str>,
    /// Its id from its next start on, if it is another one.
    pub next_id: Option<String>,
    /// Until when it turns requests away with 503, and the `Retry-After` that it names.
    pub turns_away: Option<(Instant, &'static str)>,
    /// The same for the time after its next start.
    pub turns_away_at_start: Option<(Duration, &'static str)>,
    is_starting: bool,
    born: u64,
    seq: u64,
    crashes: Vec<Instant>,
}

#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    service: String,
    log: Log,
    record: Record,
    pub state: Arc<Mutex<EngineState>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    is_up: Arc<AtomicBool>,
    life: Arc<AtomicU64>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    pub fn start(ip: &str, id: &str, service: &str, log: &Log, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let engine = Self {
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            log: log.clone(),
            record: record.clone(),
            state: Arc::new(Mutex::new(EngineState {
                id: id.to_owned(),
                version: "v1".to_owned(),
                state: "ready",
                is_leaving: false,
                checks_in: true,
                work: millis(5),
                events: 20,
                event_gap: millis(50),
                first_pause: millis(20),
                poison: None,
                down: millis(1_500),
                first_check_in: Duration::ZERO,
                next_version: None,
                next_id: None,
                turns_away: None,
                turns_away_at_start: None,
                is_starting: false,
                born: unix_millis(),
                seq: 0,
                crashes: Vec::new(),
            })),
            arrivals: Arc::default(),
            is_up: Arc::new(AtomicBool::new(true)),
            life: Arc::default(),
            open: Arc::default(),
        };
        engine.check_in();
        let (one, other) = (engine.clone(), engine.clone());
        thread::spawn(move || one.listen(listener));
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let (is_up, checks_in) = {
                    let state = other.state.lock().unwrap();
                    (
                        other.is_up.load(Ordering::Acquire),
                        state.checks_in && !state.is_starting,
                    )
                };
                if is_up && checks_in {
                    other.check_in();
                }
            }
        });
        engine
    }

    /// The entry of the engine, with or without `born`.
    pub fn entry(&self, state_name: &str, with_born: bool) -> String {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let born = match with_born {
            true => format!(",\"born\":{}", state.born),
            false => String::new(),
        };
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\"slots\":64,\
             \"state\":\"{state_name}\",\"cold_left_ms\":0,\"seq\":{}{born}}}",
            self.service, self.address, state.version, state.seq
        )
    }

    /// Writes the entry to the log.
    pub fn check_in(&self) {
        let (id, name) = {
            let state = self.state.lock().unwrap();
            (state.id.clone(), state.state)
        };
        let entry = self.entry(name, true);
        self.log.append("keyed.servers", &id, &entry);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes.clone()
    }

    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if !self.is_up.load(Ordering::Acquire) {
                drop(listener.take());
                for stream in self.open.lock().unwrap().drain(..) {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
                let down = self.state.lock().unwrap().down;
                thread::sleep(down);
                listener = TcpListener::bind(self.address).ok();
                if listener.is_none() {
                    continue;
                }
                // It starts again under the id that it had.
                let mut state = self.state.lock().unwrap();
                state.born = unix_millis();
                state.is_starting = true;
                if let Some(version) = state.next_version.take() {
                    state.version = version.to_owned();
                }
                if let Some(id) = state.next_id.take() {
                    state.id = id;
                }
                let turns_away = state.turns_away_at_start.take();
                state.turns_away = turns_away.map(|(time, text)| (Instant::now() + time, text));
                drop(state);
                let (id, version) = {
                    let state = self.state.lock().unwrap();
                    (state.id.clone(), state.version.clone())
                };
                self.record
                    .line(&format!("engine {id} has started, version {version}"));
                self.life.fetch_add(1, Ordering::AcqRel);
                self.is_up.store(true, Ordering::Release);
                let engine = self.clone();
                thread::spawn(move || {
                    let delay = engine.state.lock().unwrap().first_check_in;
                    thread::sleep(delay);
                    engine.state.lock().unwrap().is_starting = false;
                    engine.check_in();
                });
            }
            let Some(open) = &listener else {
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let mut streams = self.open.lock().unwrap();
                    streams.extend(stream.try_clone());
                    let engine = self.clone();
                    thread::spawn(move || engine.serve(Wire::new(stream)));
                }
                Err(_) => thread::sleep(millis(2)),
            }
        }
    }

    /// Ends the process of the engine, as planned. Its entry is removed.
    pub fn exit(&self) {
        self.state.lock().unwrap().checks_in = false;
        let id = self.state.lock().unwrap().id.clone();
        self.log.append("keyed.servers", &id, "");
        self.is_up.store(false, Ordering::Release);
    }

    /// Ends the process of the engine. It is back after `down`.
    pub fn crash(&self, id: &str) {
        self.state.lock().unwrap().crashes.push(Instant::now());
        let engine = self.state.lock().unwrap().id.clone();
        self.record
            .line(&format!("engine {engine} crashes under {id}"));
        self.is_up.store(false, Ordering::Release);
    }

    fn serve(&self, mut wire: Wire) {
        let life = self.life.load(Ordering::Acquire);
        while let Some(head) = wire.read_head() {
            let Some(body) = read_request_body(&mut wire, &head) else {
                return;
            };
            let is_old = self.life.load(Ordering::Acquire) != life;
            if is_old || !self.is_up.load(Ordering::Acquire) {
                return;
            }
            if !self.respond(&mut wire, &head, &body) {
                return;
            }
        }
    }

    fn respond(&self, wire: &mut Wire, head: &Head, body: &[u8]) -> bool {
        let (own, is_leaving, poison) = {
            let state = self.state.lock().unwrap();
            (state.id.clone(), state.is_leaving, state.poison)
        };
        let id = head.field("X-Request-Id").unwrap_or("").to_owned();
        let is_meant = head
            .field("X-Expect-Instance")
            .is_none_or(|expected| expected == own);
        let turns_away = self.state.lock().unwrap().turns_away;
        let turns_away = turns_away.filter(|(until, _)| is_meant && Instant::now() < *until);
        let has_run = is_meant && turns_away.is_none();
        let last_event = head
            .field("Last-Event-Id")
            .and_then(|text| text.parse().ok());
        self.arrivals.lock().unwrap().push(Arrival {
            id: id.clone(),
            at: Instant::now(),
            has_run,
            is_turned_away: turns_away.is_some(),
        });
        let verb = match (has_run, is_meant) {
            (true, _) => "runs",
            (false, true) => "turns away (503, Retry-After)",
            (false, false) => "rejects (421)",
        };
        self.record.line(&format!(
            "engine {own} {verb} {id} last event {last_event:?}"
        ));
        let leaving = if is_leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        if let Some((_, retry_after)) = turns_away {
            let text = format!(
                "HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: {retry_after}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return wire.write(text.as_bytes());
        }
        if !has_run {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return wire.write(text.as_bytes());
        }
        if poison.is_some_and(|poison| body.starts_with(poison.as_bytes())) {
            self.crash(&id);
            return false;
        }
        let fields = format!(
            "X-Request-Id: {id}\r\nX-Response-Signature: {own}.{id}\r\nX-Server-Load: 1,0,64\r\n{leaving}"
        );
        if !head.word(1).starts_with("/stream/") {
            let work = self.state.lock().unwrap().work;
            thread::sleep(work);
            let text = format!("answer of {own} to {id}");
            let message = format!(
                "HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{text}",
                text.len()
            );
            return wire.write(message.as_bytes());
        }
        self.stream(wire, &fields, last_event.unwrap_or(0))
    }

    fn stream(&self, wire: &mut Wire, fields: &str, last: u64) -> bool {
        let (version, events, gap, first) = {
            let state = self.state.lock().unwrap();
            let version = state.version.clone();
            (version, state.events, state.event_gap, state.first_pause)
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        thread::sleep(first);
        if !wire.write(text.as_bytes()) {
            return false;
        }
        for number in last + 1..=events {
            let event = format!("id: {number}\ndata: token {number} by {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if !wire.write(chunk.as_bytes()) {
                return false;
            }
            thread::sleep(gap);
        }
        wire.write(b"0\r\n\r\n")
    }
}

// ---- Clients ----

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub target: String,
    pub body: String,
    pub time_ms: u64,
    pub fields: Vec<(String, String)>,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub retry_after: Option<f64>,
    pub is_leaving: bool,
    pub body: String,
    pub events: Vec<u64>,
    pub is_whole: bool,
}

/// Sends a request on a new channel. A stream is broken off by the client after `until` events.
pub fn call(address: SocketAddr, request: &Request, until: Option<usize>) -> Answer {
    let mut answer = Answer::default();
    let Ok(stream) = TcpStream::connect_timeout(&address, millis(1_000)) else {
        return answer;
    };
    let _ = stream.set_read_timeout(Some(millis(request.time_ms)));
    let mut wire = Wire::new(stream);
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: deck.example\r\nX-Request-Id: {}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer key-1\r\nContent-Length: {}\r\n",
        request.method,
        request.target,
        request.id,
        request.time_ms,
        request.body.len()
    );
    for (name, value) in &request.fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(&request.body);
    if !wire.write(text.as_bytes()) {
        return answer;
    }
    let Some(head) = wire.read_head() else {
        return answer;
    };
    answer.status = head.word(1).parse().unwrap_or(0);
    answer.retry_after = head.field("Retry-After").and_then(|text| text.parse().ok());
    answer.is_leaving = head.field("Server-Leaving") == Some("1");
    if head.field("Transfer-Encoding").is_none() {
        let length = head
            .field("Content-Length")
            .and_then(|text| text.parse().ok());
        let body = wire.read_exact(length.unwrap_or(0));
        answer.is_whole = body.is_some();
        answer.body = String::from_utf8_lossy(&body.unwrap_or_default()).into_owned();
        return answer;
    }
    while let Some(chunk) = wire.read_chunk() {
        if chunk.is_empty() {
            answer.is_whole = true;
            break;
        }
        answer.body.push_str(&String::from_utf8_lossy(&chunk));
        answer.events = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        if until.is_some_and(|until| answer.events.len() >= until) {
            break;
        }
    }
    answer
}

// ---- Gateways ----

/// Addresses of the processes of one run, all on loopback.
pub struct Machines {
    prefix: String,
    next: u8,
}

impl Machines {
    /// Finds addresses whose ports are free.
    pub fn new() -> Self {
        let start = std::process::id();
        for step in 0..200_u32 {
            let number = start.wrapping_add(step * 7);
            let prefix = format!("127.{}.{}", 60 + number / 250 % 150, number % 250);
            let probe = format!("{prefix}.1");
            let ports = [CALLERS_PORT, READY_PORT, PEERS_PORT, METRICS_PORT];
            let are_free = ports
                .iter()
                .all(|port| TcpListener::bind((probe.as_str(), *port)).is_ok());
            if are_free && UdpSocket::bind((probe.as_str(), LOAD_PORT)).is_ok() {
                return Self { prefix, next: 1 };
            }
        }
        panic!("no loopback address has free ports");
    }

    /// The address of another machine.
    pub fn add(&mut self) -> String {
        self.next += 1;
        format!("{}.{}", self.prefix, self.next)
    }
}

/// Ids of the processes that were started and not ended yet.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the script after this time, so that none outlives it.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in PROCESSES.lock().unwrap().drain(..) {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(id.to_string())
                .status();
        }
        println!("the script took too long");
        std::process::exit(NOT_RUN);
    });
}

/// A real gateway, started with the command of the deploy file.
pub struct Gateway {
    pub callers: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings, as the template of the deploy file has them, and starts the process.
    pub fn start(
        folder: &PathBuf,
        name: &str,
        ip: &str,
        seeds: &[String],
        log: SocketAddr,
    ) -> Self {
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let seeds: Vec<String> = seeds
            .iter()
            .map(|ip| format!("\"{ip}:{PEERS_PORT}\""))
            .collect();
        let settings = format!(
            "role = \"gateway\"\n\n[log]\nlevel = \"info\"\nformat = \"json\"\n\n[gateway]\nvm = \"{name}\"\n\
             zone = \"zone-a\"\ncallers = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             metrics = \"{ip}:{METRICS_PORT}\"\npeers = \"{ip}:{PEERS_PORT}\"\nload_port = {LOAD_PORT}\n\
             seeds = [{}]\nlog_service = \"{log}\"\ngrace_ms = 8e3\nretry_ratio = 0.2\nretry_burst = 54\n\
             retry_window_ms = 10e3\nleave_limit_ms = 2000\nconfig_limit_ms = 2000\n",
            seeds.join(", ")
        );
        std::fs::write(folder.join("node.conf"), settings).expect("settings can be written");
        let mut gateway = Self {
            callers: format!("{ip}:{CALLERS_PORT}").parse().unwrap(),
            ready: format!("{ip}:{READY_PORT}").parse().unwrap(),
            folder,
            program: PathBuf::from("target/release/fescuetided"),
            child: None,
        };
        gateway.run();
        gateway
    }

    /// Starts the process, or starts it again.
    pub fn run(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("gateway.log"))
            .expect("a log can be written");
        let child = Command::new(&self.program)
            .arg(self.folder.join("node.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = child.ok();
        let ids = self.child.iter().map(Child::id);
        PROCESSES.lock().unwrap().extend(ids);
    }

    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(millis(1_000)));
        let mut wire = Wire::new(stream);
        wire.write(b"GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            && wire.read_head().is_some_and(|head| head.word(1) == "200")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all gateways are ready. Returns whether they are within 20 s.
pub fn wait_ready(gateways: &[Gateway]) -> bool {
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(20) {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(millis(50));
    }
    false
}

/// A config with one route of each kind, all to the service `engines`.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"deck.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":15000,\"slo_ms\":800,\"priority\":1,\"service\":\"engines\",\"attempts\":{attempts},\
             \"public\":false,\"sticky\":{},\"resumable\":{resumable},\"gap_target_ms\":300}}",
            kind == "stream"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"engines\",\"health_path\":\"/health\",\
         \"max_conns\":620}}],\"limits\":{{\"header_bytes\":8192,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"atelier\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        route("once", "unsafe", 1, false),
        route("safe", "safe", 2, false),
        route("stream", "stream", 2, true)
    )
}

/// Whether the script plays the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A temporary folder of this run.
pub fn temp_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
    folder
}

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
