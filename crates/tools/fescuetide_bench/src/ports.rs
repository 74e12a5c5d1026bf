//! Allocation of free ports on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Start of the port range, which lies below the ephemeral ports of the kernel (32768 and up).
const PORT_FIRST: u16 = 10_000;
const PORT_COUNT: u16 = 22_000;

/// Offset between the first ports tried by processes with consecutive ids.
const PORT_STRIDE: u32 = 211;

static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// UDP sockets that reserve allocated ports among concurrent test processes until the child process binds the TCP or UDP port
/// of the same number. They have another address, since the child may use the UDP port. Without them, another process can take a port in between,
/// which made 2 of 275 fleets fail to start.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// The loopback address of this process. When all test programs shared 127.0.0.1, concurrent ones took each other's
/// ports between the check and the bind.
fn process_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 254, middle, low)
}

/// The loopback address at which this process reserves ports.
fn reservation_loopback() -> Ipv4Addr {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 255, middle, low)
}

/// Binds a socket that does not listen. This fails if another socket listens at the address, and does not keep others from
/// listening there, even while a process that another thread is starting holds a copy of the socket.
///
/// # Errors
///
/// Fails when the address is in use.
pub fn bind_without_listening(address: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// Allocates a port on the loopback address of this process. Each port is returned at most once.
///
/// # Errors
///
/// Fails when no port in the range is free.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    let start = (std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let step = NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (start + step % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from((process_loopback(), port));
        let Ok(reservation) = UdpSocket::bind((reservation_loopback(), port)) else {
            continue;
        };
        if bind_without_listening(address).is_ok() && UdpSocket::bind(address).is_ok() {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return Ok(address);
        }
    }
    anyhow::bail!("no port from {PORT_FIRST} on is free")
}
