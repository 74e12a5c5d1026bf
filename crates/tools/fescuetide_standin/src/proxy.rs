//! A TCP proxy that injects faults between one address and those who connect to it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use serde::Deserialize;
use serde::Serialize;
use socket2::SockRef;

use crate::faults::CutFault;
use crate::faults::FAULTS_PATH;
use crate::faults::ProxyFaults;
use crate::http::empty_response;
use crate::http::json_response;
use crate::http::read_json;

/// Path of the list of connections.
const CONNECTIONS_PATH: &str = "/connections";

/// Size of one read.
const PIECE_BYTES: usize = 16 * 1024;

/// Longest time to connect to the target.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Settings of a proxy.
#[derive(Clone, Copy, Debug)]
pub struct ProxySettings {
    /// Where connections go.
    pub target: SocketAddr,
    /// Where the HTTP interface is served.
    pub control: SocketAddr,
}

/// What `GET /connections` tells of each open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionStatus {
    /// Its number, counted from 1 in order of arrival.
    pub number: u64,
    /// Bytes passed to the connecting side.
    pub to_client_bytes: u64,
    /// Bytes for the connecting side that arrived from the target.
    pub arrived_bytes: u64,
}

#[derive(Debug)]
struct ProxyConnection {
    number: u64,
    client: TcpStream,
    target: TcpStream,
    silent: AtomicBool,
    closed: AtomicBool,
    to_client_bytes: AtomicU64,
    arrived_bytes: AtomicU64,
}

impl ProxyConnection {
    /// Ends the connection towards both ends. Further calls have no effect.
    fn close(&self, reset: bool) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        for stream in [&self.client, &self.target] {
            if reset {
                // The reset is sent when the threads have dropped the socket, which the end of its reads leads to.
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            } else {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.is_silent() || self.closed.load(Ordering::Acquire)
    }

    fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Acquire)
    }
}

#[derive(Debug, Default)]
struct ProxyState {
    faults: ProxyFaults,
    connections: Vec<Arc<ProxyConnection>>,
    accepted: u64,
}

/// The direction of a pipe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PipeWay {
    ToTarget,
    ToClient,
}

struct TimedPiece {
    at: Instant,
    bytes: Vec<u8>,
}

/// The proxy.
#[derive(Debug)]
pub struct ProxyStandIn {
    settings: ProxySettings,
    state: Mutex<ProxyState>,
    changed: Condvar,
}

impl ProxyStandIn {
    /// Creates a proxy with faults that are active from the start.
    pub fn new(settings: ProxySettings, faults: ProxyFaults) -> Self {
        Self {
            settings,
            state: Mutex::new(ProxyState {
                faults,
                ..ProxyState::default()
            }),
            changed: Condvar::new(),
        }
    }

    /// Forwards connections to `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Returns when an address cannot be bound.
    pub fn serve(self, address: SocketAddr) -> anyhow::Result<()> {
        let proxy = Arc::new(self);
        let listener = TcpListener::bind(address)?;
        let acceptor = Arc::clone(&proxy);
        thread::Builder::new()
            .name("proxy-accept".to_owned())
            .spawn(move || acceptor.accept_connections(&listener))?;
        let control = proxy.settings.control;
        crate::http::serve(control, move |request| proxy.handle(&request))
    }

    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        match (request.method.as_str(), request.uri.path()) {
            ("GET", FAULTS_PATH) => json_response(200, &self.lock().faults),
            ("PUT", FAULTS_PATH) => match read_json::<ProxyFaults>(request) {
                Ok(faults) => {
                    self.apply(faults);
                    empty_response(200)
                }
                Err(response) => *response,
            },
            ("GET", CONNECTIONS_PATH) => json_response(200, &self.list_connections()),
            _ => empty_response(404),
        }
    }

    fn apply(&self, faults: ProxyFaults) {
        let mut state = self.lock();
        for connection in &state.connections {
            if faults.silence_existing {
                connection.silent.store(true, Ordering::Release);
            }
            if faults.reset_existing {
                connection.close(true);
            }
        }
        if faults.reset_existing {
            state.connections.clear();
        }
        state.faults = faults;
        drop(state);
        self.changed.notify_all();
    }

    fn list_connections(&self) -> Vec<ConnectionStatus> {
        let mut list = Vec::new();
        for connection in &self.lock().connections {
            list.push(ConnectionStatus {
                number: connection.number,
                to_client_bytes: connection.to_client_bytes.load(Ordering::Acquire),
                arrived_bytes: connection.arrived_bytes.load(Ordering::Acquire),
            });
        }
        list
    }

    fn accept_connections(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            let Ok(client) = stream else {
                continue;
            };
            if self.lock().faults.refuse_new {
                continue;
            }
            let proxy = Arc::clone(self);
            // Connecting to the target must not hold up other connections.
            thread::spawn(move || {
                if let Err(error) = proxy.forward(client) {
                    eprintln!("connection was not forwarded: {error}");
                }
            });
        }
    }

    fn forward(self: &Arc<Self>, client: TcpStream) -> io::Result<()> {
        let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let target = TcpStream::connect_timeout(&self.settings.target, timeout)?;
        client.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let mut state = self.lock();
        state.accepted += 1;
        let connection = Arc::new(ProxyConnection {
            number: state.accepted,
            client,
            target,
            silent: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            to_client_bytes: AtomicU64::new(0),
            arrived_bytes: AtomicU64::new(0),
        });
        state.connections.push(Arc::clone(&connection));
        drop(state);
        for way in [PipeWay::ToTarget, PipeWay::ToClient] {
            self.start_pipe(&connection, way)?;
        }
        Ok(())
    }

    /// Starts a reader that notes when each piece arrived and a writer that passes it on when it is due.
    fn start_pipe(
        self: &Arc<Self>,
        connection: &Arc<ProxyConnection>,
        way: PipeWay,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel();
        let read_end = Arc::clone(connection);
        thread::Builder::new()
            .name("proxy-read".to_owned())
            .spawn(move || read_pieces(&read_end, way, &sender))?;
        let proxy = Arc::clone(self);
        let connection = Arc::clone(connection);
        thread::Builder::new()
            .name("proxy-write".to_owned())
            .spawn(move || proxy.write_pieces(&connection, way, &receiver))?;
        Ok(())
    }

    fn write_pieces(
        &self,
        connection: &ProxyConnection,
        way: PipeWay,
        receiver: &Receiver<TimedPiece>,
    ) {
        for piece in receiver {
            self.wait_due(connection, way, piece.at);
            if connection.is_silent() {
                continue;
            }
            let sent = match way {
                PipeWay::ToTarget => (&connection.target).write_all(&piece.bytes),
                PipeWay::ToClient => self.write_to_client(connection, &piece.bytes),
            };
            if sent.is_err() {
                break;
            }
        }
        if connection.is_silent() {
            // A half-open connection does not show that its other end has closed.
            return;
        }
        connection.close(false);
        let number = connection.number;
        self.lock()
            .connections
            .retain(|other| other.number != number);
    }

    /// Waits for the delay of the direction and until the connection is not held back.
    fn wait_due(&self, connection: &ProxyConnection, way: PipeWay, at: Instant) {
        let mut state = self.lock();
        loop {
            let faults = &state.faults;
            let delay = match way {
                PipeWay::ToTarget => faults.to_target_delay_ms,
                PipeWay::ToClient => faults.to_client_delay_ms,
            };
            let held = way == PipeWay::ToClient
                && (faults.hold_all || faults.held.contains(&connection.number));
            let left =
                (at + Duration::from_millis(delay)).saturating_duration_since(Instant::now());
            if connection.is_ended() || (!held && left.is_zero()) {
                return;
            }
            state = if held {
                self.changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner)
            } else {
                self.changed
                    .wait_timeout(state, left)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0
            };
        }
    }

    fn write_to_client(&self, connection: &ProxyConnection, bytes: &[u8]) -> io::Result<()> {
        let (passing, cut) = self.take_cut(bytes.len() as u64);
        let passing = &bytes[..passing as usize];
        (&connection.client).write_all(passing)?;
        connection
            .to_client_bytes
            .fetch_add(passing.len() as u64, Ordering::AcqRel);
        let Some(cut) = cut else {
            return Ok(());
        };
        connection.close(cut.reset);
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Counts bytes towards a cut. Returns how many may pass, and the cut when it is reached.
    fn take_cut(&self, length: u64) -> (u64, Option<CutFault>) {
        let mut state = self.lock();
        let Some(cut) = &mut state.faults.cut else {
            return (length, None);
        };
        if length < cut.after_bytes {
            cut.after_bytes -= length;
            return (length, None);
        }
        let passing = cut.after_bytes;
        (passing, state.faults.cut.take())
    }

    fn lock(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read_pieces(connection: &ProxyConnection, way: PipeWay, sender: &Sender<TimedPiece>) {
    let mut stream = match way {
        PipeWay::ToTarget => &connection.client,
        PipeWay::ToClient => &connection.target,
    };
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let length = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        if way == PipeWay::ToClient {
            connection
                .arrived_bytes
                .fetch_add(length as u64, Ordering::AcqRel);
        }
        let piece = TimedPiece {
            at: Instant::now(),
            bytes: buffer[..length].to_vec(),
        };
        if sender.send(piece).is_err() {
            return;
        }
    }
}
