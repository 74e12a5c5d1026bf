//! Tests of the graceful shutdown of an HTTP server.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_net::HttpDrain;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_net::HttpServerSettings;
use fescuetide_net::serve_async;

/// The timeout for each step of a shutdown.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);

async fn respond(_: HttpRequest) -> HttpResponse {
    HttpResponse::full(200, "text/plain", "served")
}

fn start_server() -> (SocketAddr, HttpDrain) {
    let free = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = free.local_addr().expect("address");
    drop(free);
    let drain = HttpDrain::default();
    let settings = HttpServerSettings {
        drain: drain.clone(),
        ..HttpServerSettings::default()
    };
    serve_async(address, settings, respond).expect("server");
    (address, drain)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connection");
    stream
        .set_read_timeout(Some(STEP_TIMEOUT))
        .expect("timeout");
    stream
}

/// Sends a request and reads until the server closes the connection.
fn send_request(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n")
        .expect("request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("response");
    text
}

fn wait_for(step: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < STEP_TIMEOUT, "{step} timed out");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a request being cut off because its connection was opened just before the server closed its idle
/// connections. Seen once in `faults --seed 31338 --quick`, as a call cut off by a router that was shutting down.
#[test]
fn first_request_on_a_connection_is_served_during_shutdown() {
    let (address, drain) = start_server();
    let mut stream = connect(address);
    wait_for("accepting the connection", || drain.connection_count() == 1);
    drain.close_connections();
    thread::sleep(Duration::from_millis(100));
    assert!(send_request(&mut stream).contains("served"));
    wait_for("closing of the connection", || {
        drain.connection_count() == 0
    });
}

/// Guards against connections being closed without a response because they were opened after the idle connections had
/// been closed.
#[test]
fn request_on_a_connection_opened_during_shutdown_is_served() {
    let (address, drain) = start_server();
    drain.close_connections();
    let mut stream = connect(address);
    assert!(send_request(&mut stream).contains("served"));
}

/// Guards against a shutdown that never completes because a connection sends no request.
#[test]
fn connection_without_a_request_does_not_block_shutdown() {
    let (address, drain) = start_server();
    let stream = connect(address);
    wait_for("accepting the connection", || drain.connection_count() == 1);
    drain.close_connections();
    wait_for("closing of the connection", || {
        drain.connection_count() == 0
    });
    drop(stream);
}

/// Guards against connections in the accept queue being reset when the listener is closed.
#[test]
fn pending_connections_are_served_before_the_listener_closes() {
    let (address, drain) = start_server();
    let mut streams: Vec<TcpStream> = (0..32).map(|_| connect(address)).collect();
    drain.close_connections();
    drain.stop_listening();
    for stream in &mut streams {
        assert!(send_request(stream).contains("served"));
    }
    wait_for("closing of the listener", || drain.is_stopped());
    assert!(
        TcpStream::connect(address).is_err(),
        "the listener is still open"
    );
}
