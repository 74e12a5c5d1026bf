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
use fescuetide_net::HttpSettings;
use fescuetide_net::serve_async;

/// The timeout for each step of a shutdown.
const LIMIT: Duration = Duration::from_secs(10);

async fn answer(_: HttpRequest) -> HttpResponse {
    HttpResponse::whole(200, "text/plain", "served")
}

fn start_server() -> (SocketAddr, HttpDrain) {
    let free = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = free.local_addr().expect("address");
    drop(free);
    let drain = HttpDrain::default();
    let settings = HttpSettings {
        drain: drain.clone(),
        ..HttpSettings::default()
    };
    serve_async(address, settings, answer).expect("server");
    (address, drain)
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connection");
    stream.set_read_timeout(Some(LIMIT)).expect("timeout");
    stream
}

/// Sends a request and reads until the server closes the connection.
fn exchange(stream: &mut TcpStream) -> String {
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: server\r\n\r\n")
        .expect("request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("response");
    text
}

fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < LIMIT, "{what} took too long");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a request being cut off because its connection was opened just before the server closed its idle
/// connections. Seen once in `faults --seed 31338 --quick`, as a call cut off by a router that was shutting down.
#[test]
fn request_on_a_connection_without_an_earlier_one_is_served() {
    let (address, drain) = start_server();
    let mut stream = connect(address);
    wait_for("connection", || drain.connection_count() == 1);
    drain.close_connections();
    thread::sleep(Duration::from_millis(100));
    assert!(exchange(&mut stream).contains("served"));
    wait_for("end of the connection", || drain.connection_count() == 0);
}

/// Guards against connections being closed without a response because they were opened after the idle connections had
/// been closed.
#[test]
fn request_on_a_connection_after_the_close_is_served() {
    let (address, drain) = start_server();
    drain.close_connections();
    let mut stream = connect(address);
    assert!(exchange(&mut stream).contains("served"));
}

/// Guards against a shutdown that never completes because a connection sends no request.
#[test]
fn connection_without_a_request_does_not_hold_the_end_up() {
    let (address, drain) = start_server();
    let stream = connect(address);
    wait_for("connection", || drain.connection_count() == 1);
    drain.close_connections();
    wait_for("end of the connection", || drain.connection_count() == 0);
    drop(stream);
}

/// Guards against connections in the accept queue being reset when the listener is closed.
#[test]
fn waiting_connections_are_served_before_the_listener_closes() {
    let (address, drain) = start_server();
    let mut streams: Vec<TcpStream> = (0..32).map(|_| connect(address)).collect();
    drain.close_connections();
    drain.stop_listening();
    for stream in &mut streams {
        assert!(exchange(stream).contains("served"));
    }
    wait_for("end of the listener", || drain.is_stopped());
    assert!(TcpStream::connect(address).is_err(), "the listener is open");
}
