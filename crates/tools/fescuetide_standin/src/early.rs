//! An upstream that answers before it has read the whole request, and may end its connection while the request is still
//! being written.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Maximum size of a request head.
const HEAD_LIMIT_BYTES: usize = 64 * 1_024;

/// Stands for the value of the field `X-Request-Id` of the request in [`EarlyAnswer::bytes`].
pub const REQUEST_ID: &str = "{id}";

/// How the connection ends after an early answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// It is reset.
    Reset,
    /// It is closed for writing, and what is left of the request is read.
    Shutdown,
    /// It stays open, and what is left of the request is read.
    Kept,
}

/// What is sent as soon as the head of a request has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EarlyAnswer {
    /// The bytes.
    pub bytes: String,
    /// Time from the answer to the end of the connection.
    pub delay: Duration,
    /// How the connection ends.
    pub end: EarlyEnd,
}

/// A running upstream. It ends with the process.
#[derive(Clone, Debug)]
pub struct EarlyUpstream {
    address: SocketAddr,
    answer: Arc<Mutex<Option<EarlyAnswer>>>,
    request_count: Arc<AtomicUsize>,
}

impl EarlyUpstream {
    /// Starts an upstream, which gives no answer before [`set_answer`](Self::set_answer). With port 0 it takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let upstream = Self {
            address: listener.local_addr()?,
            answer: Arc::default(),
            request_count: Arc::default(),
        };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                // Errors are ignored: the other side may have ended the connection.
                thread::spawn(move || server.give_answer(stream));
            }
        });
        Ok(upstream)
    }

    /// Sets what further requests get.
    pub fn set_answer(&self, answer: EarlyAnswer) {
        *self.lock_answer() = Some(answer);
    }

    fn lock_answer(&self) -> MutexGuard<'_, Option<EarlyAnswer>> {
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of requests whose head has arrived.
    pub fn request_count(&self) -> usize {
        self.request_count.load(Ordering::Acquire)
    }

    fn give_answer(&self, mut stream: TcpStream) -> io::Result<()> {
        let head = read_head(&mut stream)?;
        self.request_count.fetch_add(1, Ordering::AcqRel);
        let Some(answer) = self.lock_answer().clone() else {
            return Ok(());
        };
        let bytes = answer.bytes.replace(REQUEST_ID, request_id(&head));
        stream.write_all(bytes.as_bytes())?;
        thread::sleep(answer.delay);
        match answer.end {
            EarlyEnd::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)),
            EarlyEnd::Shutdown => {
                stream.shutdown(Shutdown::Write)?;
                io::copy(&mut stream, &mut io::sink()).map(drop)
            }
            EarlyEnd::Kept => io::copy(&mut stream, &mut io::sink()).map(drop),
        }
    }
}

/// Reads a head, and leaves what follows it unread.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && head.len() < HEAD_LIMIT_BYTES {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

fn request_id(head: &str) -> &str {
    for line in head.lines() {
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("x-request-id")
        {
            return value.trim();
        }
    }
    ""
}
