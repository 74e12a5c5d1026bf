//! Tests of peers that send or read a byte now and then.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_base::SpanMillis;
use fescuetide_net::FrameError;
use fescuetide_net::FramedStream;

/// Timeout of a frame.
const TIMEOUT: SpanMillis = SpanMillis::new(300);

/// Pause of the peer between two bytes, shorter than the timeout.
const BYTE_PAUSE: Duration = Duration::from_millis(100);

/// Bytes that the peer sends or reads, one at a time.
const BYTES: usize = 200;

/// Time after which a frame must have ended, an order of magnitude above its timeout and below what the peer needs.
const END_LIMIT: Duration = Duration::from_secs(8);

fn connect() -> (FramedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().unwrap();
    (FramedStream::new(stream).unwrap(), peer)
}

/// Guards against a frame that never ends, since each byte of it comes within the timeout of a read.
#[test]
fn frame_that_comes_byte_by_byte_times_out() {
    let (mut stream, mut peer) = connect();
    thread::spawn(move || {
        let length = BYTES as u32;
        let mut bytes = length.to_le_bytes().to_vec();
        bytes.resize(BYTES, 0);
        for byte in bytes {
            thread::sleep(BYTE_PAUSE);
            if peer.write_all(&[byte]).is_err() {
                return;
            }
        }
    });
    let started = Instant::now();
    let result: Result<String, FrameError> = stream.receive(Some(TIMEOUT));
    assert!(matches!(result, Err(FrameError::Timeout)), "{result:?}");
    assert!(started.elapsed() < END_LIMIT);
}

/// Guards against a frame that is never sent completely, since the peer reads some bytes within the timeout of a write.
#[test]
fn frame_that_is_read_slowly_times_out() {
    const FRAME_BYTES: usize = 900_000;
    let (mut stream, mut peer) = connect();
    let (done, is_done) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let mut part = [0; 16 * 1_024];
        while is_done.recv_timeout(BYTE_PAUSE).is_err() {
            if !matches!(peer.read(&mut part), Ok(count) if count > 0) {
                return;
            }
        }
    });
    let started = Instant::now();
    let frame = "x".repeat(FRAME_BYTES);
    let result = (0..40).try_for_each(|_| stream.send(&frame));
    assert!(matches!(result, Err(FrameError::Timeout)), "{result:?}");
    // The frames before fit into the buffers of the sockets.
    assert!(started.elapsed() < Duration::from_secs(60));
    done.send(()).ok();
}
