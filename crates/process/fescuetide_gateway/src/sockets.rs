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

/// Callers that wait to be accepted at most.
const LISTEN_BACKLOG: i32 = 1_024;

/// A peer that confirms nothing for this long is taken for dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often an idle connection is checked, so that one that went silent is noticed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Checks without answer after which a connection counts as dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// Opens a listener. A process that starts again takes over the address of its predecessor.
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

/// Opens a connection to an upstream.
pub(crate) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    set_dead_peer_timeouts(SockRef::from(&stream))?;
    Ok(stream)
}

/// Makes the system notice a peer that is gone without a word.
pub(crate) fn set_dead_peer_timeouts(socket: SockRef<'_>) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUT))
}

/// Makes the close of a connection a reset. After an ordinary close the system goes on sending what the peer has not
/// confirmed, so an attempt that was given up while its upstream was cut off arrives there seconds later.
pub(crate) fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
