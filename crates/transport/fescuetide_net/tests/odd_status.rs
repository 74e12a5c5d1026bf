//! Answers of the log service with a status that is none.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;

use fescuetide_base::SpanMillis;
use fescuetide_net::ControlMeter;
use fescuetide_net::LogClient;
use fescuetide_net::PlatformError;

/// Calls a log service that answers an append with this status.
fn append_with_status(status: &'static str) -> PlatformError {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).unwrap() > 0);
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}");
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let timeout = SpanMillis::new(5_000);
    let client = LogClient::new(
        format!("http://{address}"),
        timeout,
        ControlMeter::default(),
    );
    let error = client.append("classes", &1).unwrap_err();
    server.join().unwrap();
    error
}

/// Guards against an append that counts as not applied since the answer has a status that is none.
#[test]
fn status_that_is_none_says_nothing_about_an_append() {
    for status in ["000", "600", "999"] {
        let error = append_with_status(status);
        assert!(matches!(error, PlatformError::Http(_)), "{status}: {error}");
    }
    let error = append_with_status("503");
    assert!(matches!(error, PlatformError::Status(503)), "{error}");
}
