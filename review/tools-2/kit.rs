//! Stand-ins for clients, engines and the platform's store, and real gateway processes, for the cases of this review.
//!
//! Only the standard library is used. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Shutdown;
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
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Time after which a case is given up.
const CASE_LIMIT: Duration = Duration::from_secs(115);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|error| error.into_inner())
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

// ---------------------------------------------------------------------------------------------------------------------
// The run of a case

struct CaseRun {
    started: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<Child>>,
    dir: PathBuf,
}

static RUN: OnceLock<CaseRun> = OnceLock::new();

fn run() -> &'static CaseRun {
    RUN.get().expect("the case has begun")
}

/// Begins a case: opens `record.txt` in the folder given as first argument, and starts the watchdog.
pub fn begin() {
    let folder = std::env::args().nth(1).expect("usage: case FOLDER");
    let record = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let name = format!("review-{}-{}", std::process::id(), nanos.subsec_nanos());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).expect("temporary folder");
    let case = CaseRun {
        started: Instant::now(),
        record: Mutex::new(record),
        children: Mutex::default(),
        dir,
    };
    if RUN.set(case).is_err() {
        panic!("begun twice");
    }
    std::panic::set_hook(Box::new(|info| {
        note(&format!("case panicked: {info}"));
        finish(NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        note("case took too long");
        finish(NOT_RUN);
    });
}

/// Whether the case has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    run().started.elapsed().as_millis() as u64
}

/// Writes a line to the record.
pub fn note(text: &str) {
    let text = text.replace(&run().dir.display().to_string(), "DIR");
    let line = format!("{:>8.3} s  {text}\n", run().started.elapsed().as_secs_f64());
    let _ = lock(&run().record).write_all(line.as_bytes());
}

/// Ends all processes and the case.
pub fn finish(code: i32) -> ! {
    for child in lock(&run().children).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let text = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    note(&format!("result: {text} (exit code {code})"));
    println!("{text}");
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&run().dir);
    } else {
        println!("{}", run().dir.display());
    }
    std::process::exit(code);
}

// ---------------------------------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&part[..count]);
                Some(())
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the start line and the fields of a message.
    pub fn head(&mut self) -> Option<Message> {
        let mut start = self.line()?;
        while start.is_empty() {
            start = self.line()?;
        }
        let mut fields = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            fields.push((name.to_owned(), value.trim().to_owned()));
        }
        Some(Message { start, fields, body: Vec::new() })
    }

    /// Reads the next piece of a chunked body, an empty one at its end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Some(Vec::new());
        }
        let data = self.take(size)?;
        self.line()?;
        Some(data)
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.field("Transfer-Encoding").is_some() {
            loop {
                let piece = self.chunk()?;
                if piece.is_empty() {
                    return Some(message);
                }
                message.body.extend(piece);
            }
        }
        let length = message.field("Content-Length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Some(message)
    }
}

/// The channels that a server has open.
#[derive(Clone, Default)]
pub struct OpenChannels(Arc<Mutex<HashMap<u64, TcpStream>>>);

impl OpenChannels {
    /// Resets all channels. Returns how many there were. One on which a call is in progress gets no answer.
    fn reset(&self) -> usize {
        let channels = std::mem::take(&mut *lock(&self.0));
        for channel in channels.values() {
            reset_on_close(channel);
            let _ = channel.shutdown(Shutdown::Read);
        }
        channels.len()
    }

    fn contains(&self, number: u64) -> bool {
        lock(&self.0).contains_key(&number)
    }

    /// Number of open channels.
    pub fn len(&self) -> usize {
        lock(&self.0).len()
    }
}

/// Makes closing the socket reset the channel.
fn reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    let result = unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
    assert!(result == 0, "SO_LINGER");
}

/// Accepts connections and serves each in a thread of its own. `handle` gets the number of the channel, by which it is known in
/// `open`.
fn serve(listener: TcpListener, open: OpenChannels, handle: impl Fn(Reader, u64) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming()) {
            let Ok(stream) = stream else { continue };
            if let Ok(copy) = stream.try_clone() {
                lock(&open.0).insert(number, copy);
            }
            let (handle, open) = (Arc::clone(&handle), open.clone());
            thread::spawn(move || {
                handle(Reader::new(stream), number);
                lock(&open.0).remove(&number);
            });
        }
    });
}

// ---------------------------------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

impl Topic {
    fn append(&mut self, key: &str, value: &[u8]) {
        let offset = self.records.len() as u64;
        self.records.push((key.to_owned(), value.to_owned()));
        match value.is_empty() {
            true => drop(self.newest.remove(key)),
            false => drop(self.newest.insert(key.to_owned(), (value.to_owned(), offset))),
        }
    }
}

#[derive(Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

/// The path of one machine to the store.
#[derive(Clone)]
pub struct StorePath {
    pub address: SocketAddr,
    /// The channels of the machine to the store.
    pub open: OpenChannels,
    turns_away: Arc<AtomicBool>,
    /// Calls that were answered.
    pub calls: Arc<AtomicU64>,
    /// When registrations of engines were last read.
    pub servers_read_ms: Arc<AtomicU64>,
}

impl StorePath {
    /// Resets all open channels. Returns how many there were.
    pub fn reset_channels(&self) -> usize {
        self.open.reset()
    }

    /// Makes the store answer all calls on this path with 503, or serve them again.
    pub fn turn_away(&self, turns_away: bool) {
        self.turns_away.store(turns_away, Ordering::SeqCst);
    }
}

/// The platform's store: a log with keyed topics.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<StoreState>,
}

impl Store {
    /// Opens the path of a machine to the store.
    pub fn path(&self) -> StorePath {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let path = StorePath {
            address: listener.local_addr().expect("an address"),
            open: OpenChannels::default(),
            turns_away: Arc::default(),
            calls: Arc::default(),
            servers_read_ms: Arc::default(),
        };
        let (state, own) = (Arc::clone(&self.state), path.clone());
        serve(listener, path.open.clone(), move |mut reader, number| {
            while let Some(request) = reader.message() {
                let (status, body) = match own.turns_away.load(Ordering::SeqCst) {
                    true => (503, Vec::new()),
                    false => state.answer(&request, &own.turns_away),
                };
                own.calls.fetch_add(1, Ordering::SeqCst);
                if status == 200 && request.query("topic") == Some("keyed.servers") {
                    own.servers_read_ms.store(now_ms(), Ordering::SeqCst);
                }
                let head = format!(
                    "HTTP/1.1 {status} S\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let message = [head.as_bytes(), &body].concat();
                if !own.open.contains(number) {
                    return;
                }
                if reader.stream.write_all(&message).is_err() {
                    return;
                }
            }
        });
        path
    }

    /// Writes a record, or drops its key if the value is empty.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut topics = lock(&self.state.topics);
        topics.entry(topic.to_owned()).or_default().append(key, value.as_bytes());
        drop(topics);
        self.state.changed.notify_all();
    }

    pub fn write_config(&self, config: &str) {
        self.write("keyed.op", "config", config);
    }

    pub fn write_server(&self, id: &str, entry: &str) {
        self.write("keyed.servers", id, entry);
    }

    pub fn remove_server(&self, id: &str) {
        self.write("keyed.servers", id, "");
    }
}

impl StoreState {
    fn answer(&self, request: &Message, turns_away: &AtomicBool) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        match (request.method(), request.path()) {
            ("GET", "/v1/log-newest") => self.newest(&topic, request.query("after")),
            ("GET", "/v1/log-read") => self.read(&topic, request, turns_away),
            ("POST", "/v1/log-append") => self.append(&topic, request),
            _ => (404, Vec::new()),
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> (u16, Vec<u8>) {
        const PAGE: usize = 500;
        let after = after.map(percent_decode);
        let mut topics = lock(&self.topics);
        let topic = topics.entry(topic.to_owned()).or_default();
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (value, offset)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == PAGE {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let end = topic.records.len();
        let items = items.join(",");
        let body = format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end_offset\":{end}}}");
        (200, body.into_bytes())
    }

    fn read(&self, topic: &str, request: &Message, turns_away: &AtomicBool) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let from = number("from") as usize;
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut topics = lock(&self.topics);
        loop {
            if turns_away.load(Ordering::SeqCst) {
                return (503, Vec::new());
            }
            let records = &topics.entry(topic.to_owned()).or_default().records;
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return (200, body);
            }
            let step = left.min(Duration::from_millis(50));
            topics = match self.changed.wait_timeout(topics, step) {
                Ok((topics, _)) => topics,
                Err(error) => error.into_inner().0,
            };
        }
    }

    fn append(&self, topic: &str, request: &Message) -> (u16, Vec<u8>) {
        if ["keyed.op", "keyed.servers"].contains(&topic) {
            return (403, Vec::new());
        }
        let mut topics = lock(&self.topics);
        let stored = topics.entry(topic.to_owned()).or_default();
        let end = stored.records.len() as u64;
        let at = request.query("at").and_then(|text| text.parse().ok());
        if at.is_some_and(|at: u64| at != end) {
            return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
        }
        let mut rest = request.body.as_slice();
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + length];
            let key_length = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..1 + key_length]).into_owned();
            stored.append(&key, &record[1 + key_length..]);
            rest = &rest[4 + length..];
        }
        let end_offset = stored.records.len();
        drop(topics);
        self.changed.notify_all();
        (200, format!("{{\"offset\":{end},\"end_offset\":{end_offset}}}").into_bytes())
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[index + 1..index + 3], 16);
            out.push(code.unwrap_or(b'?'));
            index += 3;
        } else {
            out.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const TABLE: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = (number >> (18 - 6 * index)) & 63;
            match index <= group.len() {
                true => out.push(TABLE[digit as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------------------------------
// Engines

/// A request that an engine got.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub id: String,
    pub target: String,
    /// Whether the engine ran it.
    pub was_run: bool,
}

/// What an engine does beside its task.
#[derive(Default)]
pub struct EngineState {
    /// Value of `Server-Limit` in all answers.
    pub limit: Option<String>,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    pub arrivals: Vec<Arrival>,
    /// Software version, which each event names.
    pub version: String,
    /// Number of events of a stream, and the time between two.
    pub events: u64,
    pub gap_ms: u64,
}

/// An engine of the users' platform.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<EngineState>>,
    /// The channels to the engine.
    pub open: OpenChannels,
}

impl Engine {
    pub fn start(id: &str, service: &str, state: EngineState) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(state)),
            open: OpenChannels::default(),
        };
        let own = engine.clone();
        let open = engine.open.clone();
        serve(listener, open, move |mut reader, _| {
            while let Some(request) = reader.message() {
                if own.respond(&request, &mut reader.stream).is_err() {
                    return;
                }
            }
        });
        engine
    }

    /// The entry that the engine writes about itself.
    pub fn entry(&self, state: &str, seq: u64) -> String {
        let version = lock(&self.state).version.clone();
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{version}\",\"slots\":16,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":1700000000000}}",
            self.service, self.address
        )
    }

    fn respond(&self, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.field("X-Request-Id").unwrap_or("").to_owned();
        let is_own = request.field("X-Expect-Instance").is_none_or(|expected| expected == self.id);
        let (limit, work_ms, version, events, gap_ms) = {
            let mut state = lock(&self.state);
            state.arrivals.push(Arrival {
                at_ms: now_ms(),
                id: id.clone(),
                target: request.target().to_owned(),
                was_run: is_own,
            });
            (state.limit.clone(), state.work_ms, state.version.clone(), state.events, state.gap_ms)
        };
        if !is_own {
            let head = format!("HTTP/1.1 421 S\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            return stream.write_all(head.as_bytes());
        }
        let limit = limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
        let common = format!("X-Request-Id: {id}\r\nX-Response-Signature: {}.{id}\r\n{limit}", self.id);
        if events == 0 {
            sleep_ms(work_ms);
            let body = format!("{} ran {id}", self.id);
            let head = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n", body.len());
            return stream.write_all(format!("{head}{body}").as_bytes());
        }
        let from = request.field("Last-Event-Id").and_then(|text| text.parse().ok()).unwrap_or(0_u64);
        let head = format!("HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        sleep_ms(work_ms);
        stream.write_all(head.as_bytes())?;
        for event in from + 1..=events {
            let text = format!("id: {event}\ndata: {version} wrote piece {event}\n\n");
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep_ms(gap_ms);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Gateways

/// A loopback address that differs between cases that run at the same time.
pub fn machine_ip(index: u8) -> Ipv4Addr {
    let seed = std::process::id();
    Ipv4Addr::new(127, 40 + (seed >> 7) as u8 % 180, 1 + (seed as u8 & 127), 10 + index)
}

/// A port that is free on all machines of a case.
fn free_port(used: &mut Vec<u16>) -> u16 {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        if !used.contains(&port) && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            used.push(port);
            return port;
        }
    }
}

/// Ports that are the same on all machines.
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

impl Ports {
    pub fn choose() -> Self {
        let mut used = vec![9464];
        Self {
            front: free_port(&mut used),
            ready: free_port(&mut used),
            control: free_port(&mut used),
            internal: free_port(&mut used),
        }
    }
}

/// A gateway process on a machine of its own address.
pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub store: StorePath,
    settings: PathBuf,
    child: usize,
}

/// The bounds of a small installation that the template uses.
#[derive(Clone)]
pub struct Bounds {
    pub grace_s: String,
    pub drain_ms: String,
    pub config_apply_ms: String,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { grace_s: "8".to_owned(), drain_ms: "2000".to_owned(), config_apply_ms: "2000".to_owned() }
    }
}

/// Renders the template of the settings, as the platform does.
fn render(template: &str, fields: &[(&str, String)], seeds: &[SocketAddr]) -> String {
    let (open, close) = ("{{#seeds}}", "{{/seeds}}");
    let mut text = template.to_owned();
    if let (Some(start), Some(end)) = (text.find(open), text.find(close)) {
        let inner = text[start + open.len()..end].to_owned();
        let mut list = String::new();
        for (index, seed) in seeds.iter().enumerate() {
            let comma = if index + 1 < seeds.len() { "," } else { "" };
            list.push_str(&inner.replace("{{.}}", &seed.to_string()).replace("{{,}}", comma));
        }
        text.replace_range(start..end + close.len(), &list);
    }
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    text
}

impl Gateway {
    /// Prepares a gateway on machine `index`. It is not started yet.
    pub fn new(index: u8, ports: &Ports, store: &Store) -> Self {
        let ip = machine_ip(index);
        let at = |port| SocketAddr::new(IpAddr::V4(ip), port);
        let name = format!("front-zone-a-{index}");
        Self {
            ip,
            front: at(ports.front),
            ready: at(ports.ready),
            control: at(ports.control),
            store: store.path(),
            settings: run().dir.join(format!("{name}.toml")),
            name,
            child: usize::MAX,
        }
    }

    /// Writes the settings file.
    pub fn write_settings(&self, seeds: &[SocketAddr], ports: &Ports, bounds: &Bounds) {
        let template = std::fs::read_to_string("deploy/gateway.toml").expect("run from the repository's root");
        let fields = [
            ("node", self.name.clone()),
            ("zone", "zone-a".to_owned()),
            ("listen.front", self.front.to_string()),
            ("listen.ready", self.ready.to_string()),
            ("listen.control", self.control.to_string()),
            ("ip", self.ip.to_string()),
            ("internal_ports.0", ports.internal.to_string()),
            ("platform.addr", self.store.address.to_string()),
            ("bounds.grace_s", bounds.grace_s.clone()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_burst", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.drain_ms", bounds.drain_ms.clone()),
            ("bounds.config_apply_ms", bounds.config_apply_ms.clone()),
        ];
        let text = render(&template, &fields, seeds);
        std::fs::write(&self.settings, text).expect("settings");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.log_path()).expect("log file");
        let errors = log.try_clone().expect("log file");
        let child = Command::new("target/release/fescuetided")
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/fescuetided, built as the deploy file says");
        let mut children = lock(&run().children);
        children.push(child);
        self.child = children.len() - 1;
    }

    pub fn log_path(&self) -> PathBuf {
        run().dir.join(format!("{}.log", self.name))
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    pub fn process_id(&self) -> u32 {
        lock(&run().children)[self.child].id()
    }

    /// Sends the signal `HUP`, `KILL` or `TERM`.
    pub fn signal(&self, name: &str) {
        unsafe extern "C" {
            fn kill(process: i32, signal: i32) -> i32;
        }
        let number = match name {
            "HUP" => 1,
            "KILL" => 9,
            "TERM" => 15,
            other => panic!("unknown signal {other}"),
        };
        let result = unsafe { kill(self.process_id() as i32, number) };
        assert!(result == 0, "cannot send {name}");
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&self) -> Option<std::process::ExitStatus> {
        lock(&run().children)[self.child].try_wait().ok().flatten()
    }

    /// The status of a readiness check, 0 without an answer.
    pub fn readiness(&self) -> u16 {
        let request = "GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n";
        exchange(self.ready, request.as_bytes(), 1_000).map_or(0, |answer| answer.status())
    }

    pub fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while self.readiness() != 200 {
            assert!(Instant::now() < deadline, "{} did not become ready", self.name);
            sleep_ms(50);
        }
    }
}

/// Starts gateways, each with the given seeds, and waits until they are ready.
pub fn start_fleet(count: u8, store: &Store, seeds: impl Fn(&[Gateway]) -> Vec<SocketAddr>) -> (Vec<Gateway>, Ports) {
    let ports = Ports::choose();
    let mut fleet: Vec<Gateway> = (1..=count).map(|index| Gateway::new(index, &ports, store)).collect();
    let seeds = seeds(&fleet);
    for gateway in &mut fleet {
        gateway.write_settings(&seeds, &ports, &Bounds::default());
        gateway.start();
    }
    for gateway in &fleet {
        gateway.wait_ready();
    }
    (fleet, ports)
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients

/// Opens a channel.
pub fn open(address: SocketAddr, timeout_ms: u64) -> Option<Reader> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(1_000)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms))).ok()?;
    Some(Reader::new(stream))
}

/// Sends a request on a new channel and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout_ms: u64) -> Option<Message> {
    let mut reader = open(address, timeout_ms)?;
    reader.stream.write_all(request).ok()?;
    reader.message()
}

/// A request as a client sends it.
pub fn request(method: &str, target: &str, id: &str, deadline_ms: u64, more: &str, body: &str) -> Vec<u8> {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer key-1\r\n{more}{length}\r\n{body}"
    )
    .into_bytes()
}

/// A route of a config.
pub fn route(name: &str, kind: &str, service: &str, attempts: u32, resumable: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
         \"timeout_ms\":15000,\"slo_ms\":400,\"priority\":1,\"service\":\"{service}\",\"attempts\":{attempts},\
         \"public\":false,\"sticky\":false,\"resumable\":{resumable},\"gap_target_ms\":300}}"
    )
}

/// A config with these routes and services.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":200}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}
