//! Socket options.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpListener;
use mio::net::TcpStream;
use socket2::Domain;
use socket2::Protocol;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

/// Maximum number of connections in the accept queue.
const LISTEN_BACKLOG: i32 = 1_024;

/// A connection whose remote end does not acknowledge data for this long is considered dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is considered dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// Opens a listener. `SO_REUSEADDR` lets a restarted process bind the address of its predecessor.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Starts connecting to an upstream.
pub(crate) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    set_dead_connection_timeouts(SockRef::from(&stream))?;
    Ok(stream)
}

/// Sets keepalive and `TCP_USER_TIMEOUT`, so that a remote end that disappears without closing the connection is
/// detected.
pub(crate) fn set_dead_connection_timeouts(socket: SockRef<'_>) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Makes closing the socket reset the connection. After a regular close the kernel keeps retransmitting
/// unacknowledged data, so a cancelled attempt could reach an upstream seconds later, when a network partition ends.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
