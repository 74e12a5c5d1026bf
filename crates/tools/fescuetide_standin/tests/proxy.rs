//! Tests of the proxy and of the weight store stand-in, whose behaviour the fleet tests rely on.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_standin::faults::CutFault;
use fescuetide_standin::faults::ProxyFaults;
use fescuetide_standin::faults::WeightFaults;
use fescuetide_standin::proxy::ProxySettings;
use fescuetide_standin::proxy::ProxyStandIn;
use fescuetide_standin::weights::WeightSettings;
use fescuetide_standin::weights::WeightStandIn;

const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    listener.local_addr().expect("address")
}

fn wait_until(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < TEST_TIMEOUT, "{what} took too long");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A proxy in front of an echo server.
struct TestProxy {
    address: SocketAddr,
    control: SocketAddr,
}

impl TestProxy {
    fn start() -> Self {
        let echo = TcpListener::bind("127.0.0.1:0").expect("port");
        let target = echo.local_addr().expect("address");
        thread::spawn(move || {
            for stream in echo.incoming().flatten() {
                thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
            }
        });
        let (address, control) = (free_address(), free_address());
        let settings = ProxySettings { target, control };
        let proxy = ProxyStandIn::new(settings, ProxyFaults::default());
        thread::spawn(move || proxy.serve(address));
        let proxy = Self { address, control };
        wait_until("start", || {
            ureq::get(format!("http://{control}/faults")).call().is_ok()
        });
        proxy
    }

    fn set(&self, faults: &ProxyFaults) {
        let url = format!("http://{}/faults", self.control);
        ureq::put(url).send_json(faults).expect("faults");
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("timeout");
        stream
    }
}

/// Sends bytes and reads the same number of bytes.
fn echo(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    stream.write_all(bytes)?;
    let mut received = vec![0; bytes.len()];
    stream.read_exact(&mut received)?;
    Ok(received)
}

/// Guards against a proxy that alters data, and against a delay that has no effect in one direction.
#[test]
fn delays_add_up_over_both_directions() {
    let proxy = TestProxy::start();
    let mut stream = proxy.connect();
    assert_eq!(echo(&mut stream, b"before").expect("echo"), b"before");
    proxy.set(&ProxyFaults {
        to_target_delay_ms: 200,
        to_client_delay_ms: 300,
        ..ProxyFaults::default()
    });
    let start = Instant::now();
    assert_eq!(echo(&mut stream, b"after").expect("echo"), b"after");
    assert!(start.elapsed() >= Duration::from_millis(500));
}

/// Guards against a cut that forwards the wrong number of bytes, or that closes the connection instead of resetting it.
#[test]
fn cut_forwards_the_bytes_before_it() {
    let proxy = TestProxy::start();
    for reset in [false, true] {
        let mut stream = proxy.connect();
        echo(&mut stream, b"before").expect("echo");
        let after_bytes = 3;
        proxy.set(&ProxyFaults {
            cut: Some(CutFault { after_bytes, reset }),
            ..ProxyFaults::default()
        });
        stream.write_all(b"abcdef").expect("write");
        let mut received = [0; 3];
        stream
            .read_exact(&mut received)
            .expect("bytes before the cut");
        assert_eq!(&received, b"abc");
        let end = stream.read(&mut received);
        if reset {
            assert_eq!(end.expect_err("reset").kind(), ErrorKind::ConnectionReset);
        } else {
            assert_eq!(end.expect("close"), 0);
        }
    }
}

/// Guards against the fault `silence_existing` closing connections or affecting new ones.
#[test]
fn silenced_connections_stay_open_and_new_ones_work() {
    let proxy = TestProxy::start();
    let mut existing = proxy.connect();
    echo(&mut existing, b"before").expect("echo");
    proxy.set(&ProxyFaults {
        silence_existing: true,
        ..ProxyFaults::default()
    });
    let mut new = proxy.connect();
    assert_eq!(echo(&mut new, b"new").expect("echo"), b"new");
    let limit = Duration::from_millis(300);
    existing.set_read_timeout(Some(limit)).expect("timeout");
    let error = echo(&mut existing, b"old").expect_err("silence");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}

/// Guards against a weight store without a rate limit or with one limit per download, which would make tests of
/// download permits pass by accident.
#[test]
fn downloads_share_the_rate_of_the_weight_store() {
    let address = free_address();
    let settings = WeightSettings {
        rate_bytes_per_s: 256 * 1024,
        size_bytes: 64 * 1024,
    };
    let store = WeightStandIn::new(settings, WeightFaults::default());
    thread::spawn(move || store.serve(address));
    wait_until("start", || {
        ureq::get(format!("http://{address}/faults")).call().is_ok()
    });
    let start = Instant::now();
    let mut downloads = Vec::new();
    for name in ["deck-1", "deck-2", "deck-3"] {
        let url = format!("http://{address}/weights/{name}");
        downloads.push(thread::spawn(move || {
            let mut response = ureq::get(url).call().expect("download");
            response.body_mut().read_to_vec().expect("weights").len()
        }));
    }
    for download in downloads {
        assert_eq!(download.join().expect("download"), 64 * 1024);
    }
    // 192 KiB at 256 KiB/s take 750 ms; the bound leaves 50 ms of tolerance.
    assert!(start.elapsed() >= Duration::from_millis(700));
}
