//! A TCP proxy that injects faults between clients and one target address.

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

/// Path of the connection list.
const CONNECTIONS_PATH: &str = "/connections";

/// The size of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The timeout for connecting to the target, in ms.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Settings of the proxy.
#[derive(Clone, Copy, Debug)]
pub struct ProxySettings {
    /// The address to which connections are forwarded.
    pub target: SocketAddr,
    /// The address of the HTTP control interface.
    pub control: SocketAddr,
}

/// An entry of the answer to `GET /connections`, which lists all open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionStatus {
    /// The number of the connection, from 1 in the order in which they were established.
    pub number: u64,
    /// The number of bytes forwarded to the client.
    pub to_client_bytes: u64,
    /// The number of bytes received from the target.
    pub arrived_bytes: u64,
}

#[derive(Debug)]
struct ProxyConnection {
    number: u64,
    client: TcpStream,
    target: TcpStream,
    silenced: AtomicBool,
    closed: AtomicBool,
    to_client_bytes: AtomicU64,
    arrived_bytes: AtomicU64,
}

impl ProxyConnection {
    /// Closes or resets both sides of the connection. Further calls have no effect.
    fn close(&self, reset: bool) {
        if self.closed.swap(true, Ordering::AcqRel) {
            return;
        }
        for stream in [&self.client, &self.target] {
            if reset {
                // With a linger time of 0, the kernel sends the reset when the socket is closed. Shutting down the read
                // side ends the threads of the connection, which then drop the socket.
                let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            } else {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.is_silenced() || self.closed.load(Ordering::Acquire)
    }

    fn is_silenced(&self) -> bool {
        self.silenced.load(Ordering::Acquire)
    }
}

#[derive(Debug, Default)]
struct ProxyState {
    faults: ProxyFaults,
    connections: Vec<Arc<ProxyConnection>>,
    connection_count: u64,
}

/// The direction in which data is forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PipeDirection {
    ToTarget,
    ToClient,
}

struct TimedChunk {
    received_at: Instant,
    bytes: Vec<u8>,
}

/// A TCP proxy that injects faults.
#[derive(Debug)]
pub struct ProxyStandIn {
    settings: ProxySettings,
    state: Mutex<ProxyState>,
    faults_changed: Condvar,
}

impl ProxyStandIn {
    /// Creates a proxy with the given initial faults.
    pub fn new(settings: ProxySettings, faults: ProxyFaults) -> Self {
        Self {
            settings,
            state: Mutex::new(ProxyState {
                faults,
                ..ProxyState::default()
            }),
            faults_changed: Condvar::new(),
        }
    }

    /// Accepts and forwards connections at `address` until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if one of the two addresses cannot be bound.
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
                    self.apply_faults(faults);
                    empty_response(200)
                }
                Err(response) => *response,
            },
            ("GET", CONNECTIONS_PATH) => json_response(200, &self.list_connections()),
            _ => empty_response(404),
        }
    }

    fn apply_faults(&self, faults: ProxyFaults) {
        let mut state = self.lock();
        for connection in &state.connections {
            if faults.silence_existing {
                connection.silenced.store(true, Ordering::Release);
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
        self.faults_changed.notify_all();
    }

    fn list_connections(&self) -> Vec<ConnectionStatus> {
        let mut statuses = Vec::new();
        for connection in &self.lock().connections {
            statuses.push(ConnectionStatus {
                number: connection.number,
                to_client_bytes: connection.to_client_bytes.load(Ordering::Acquire),
                arrived_bytes: connection.arrived_bytes.load(Ordering::Acquire),
            });
        }
        statuses
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
            // Connect on a separate thread, so that a slow target does not block the accept loop.
            thread::spawn(move || {
                if let Err(error) = proxy.forward(client) {
                    eprintln!("failed to forward a connection: {error}");
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
        state.connection_count += 1;
        let connection = Arc::new(ProxyConnection {
            number: state.connection_count,
            client,
            target,
            silenced: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            to_client_bytes: AtomicU64::new(0),
            arrived_bytes: AtomicU64::new(0),
        });
        state.connections.push(Arc::clone(&connection));
        drop(state);
        for direction in [PipeDirection::ToTarget, PipeDirection::ToClient] {
            self.start_pipe(&connection, direction)?;
        }
        Ok(())
    }

    /// Starts two threads for one direction: a reader that timestamps each chunk, and a writer that forwards it after
    /// its delay.
    fn start_pipe(
        self: &Arc<Self>,
        connection: &Arc<ProxyConnection>,
        direction: PipeDirection,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel();
        let reader = Arc::clone(connection);
        thread::Builder::new()
            .name("proxy-read".to_owned())
            .spawn(move || read_chunks(&reader, direction, &sender))?;
        let proxy = Arc::clone(self);
        let connection = Arc::clone(connection);
        thread::Builder::new()
            .name("proxy-write".to_owned())
            .spawn(move || proxy.write_chunks(&connection, direction, &receiver))?;
        Ok(())
    }

    fn write_chunks(
        &self,
        connection: &ProxyConnection,
        direction: PipeDirection,
        receiver: &Receiver<TimedChunk>,
    ) {
        for chunk in receiver {
            self.wait_until_due(connection, direction, chunk.received_at);
            if connection.is_silenced() {
                continue;
            }
            let sent = match direction {
                PipeDirection::ToTarget => (&connection.target).write_all(&chunk.bytes),
                PipeDirection::ToClient => self.write_to_client(connection, &chunk.bytes),
            };
            if sent.is_err() {
                break;
            }
        }
        if connection.is_silenced() {
            // Keep the other side open: the peer of a silenced connection must not see that it was closed.
            return;
        }
        connection.close(false);
        let number = connection.number;
        self.lock()
            .connections
            .retain(|other| other.number != number);
    }

    /// Waits until the delay of the direction is over and the connection is not held back, or until the connection is
    /// closed or silenced.
    fn wait_until_due(
        &self,
        connection: &ProxyConnection,
        direction: PipeDirection,
        received_at: Instant,
    ) {
        let mut state = self.lock();
        loop {
            let faults = &state.faults;
            let delay = match direction {
                PipeDirection::ToTarget => faults.to_target_delay_ms,
                PipeDirection::ToClient => faults.to_client_delay_ms,
            };
            let is_held = direction == PipeDirection::ToClient
                && (faults.hold_all || faults.held.contains(&connection.number));
            let remaining = (received_at + Duration::from_millis(delay))
                .saturating_duration_since(Instant::now());
            if connection.is_ended() || (!is_held && remaining.is_zero()) {
                return;
            }
            state = if is_held {
                self.faults_changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner)
            } else {
                self.faults_changed
                    .wait_timeout(state, remaining)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0
            };
        }
    }

    fn write_to_client(&self, connection: &ProxyConnection, bytes: &[u8]) -> io::Result<()> {
        let (forwarded, cut) = self.consume_cut_budget(bytes.len() as u64);
        let forwarded = &bytes[..forwarded as usize];
        (&connection.client).write_all(forwarded)?;
        connection
            .to_client_bytes
            .fetch_add(forwarded.len() as u64, Ordering::AcqRel);
        let Some(cut) = cut else {
            return Ok(());
        };
        connection.close(cut.reset);
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// Counts bytes towards the cut, if there is one. Returns how many may be forwarded, and the cut if it is reached.
    fn consume_cut_budget(&self, length: u64) -> (u64, Option<CutFault>) {
        let mut state = self.lock();
        let Some(cut) = &mut state.faults.cut else {
            return (length, None);
        };
        if length < cut.after_bytes {
            cut.after_bytes -= length;
            return (length, None);
        }
        let forwarded = cut.after_bytes;
        (forwarded, state.faults.cut.take())
    }

    fn lock(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn read_chunks(
    connection: &ProxyConnection,
    direction: PipeDirection,
    sender: &Sender<TimedChunk>,
) {
    let mut stream = match direction {
        PipeDirection::ToTarget => &connection.client,
        PipeDirection::ToClient => &connection.target,
    };
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let length = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        if direction == PipeDirection::ToClient {
            connection
                .arrived_bytes
                .fetch_add(length as u64, Ordering::AcqRel);
        }
        let chunk = TimedChunk {
            received_at: Instant::now(),
            bytes: buffer[..length].to_vec(),
        };
        if sender.send(chunk).is_err() {
            return;
        }
    }
}
