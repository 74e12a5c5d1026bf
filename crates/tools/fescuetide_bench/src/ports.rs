//! Allocation of free ports on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Start of the port range, which lies below the ephemeral ports of the kernel (32768 and up).
const PORT_FIRST: u16 = 10_000;
const PORT_COUNT: u16 = 22_000;

/// Offset between the first ports tried by processes with consecutive ids.
const PORT_STRIDE: u32 = 211;

static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// UDP sockets that reserve allocated ports among concurrent test processes until the child process binds the TCP port
/// of the same number. Without them, 2 of 275 fleets failed to start because another process had taken a port.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// The loopback address of this process. When all test programs shared 127.0.0.1, concurrent ones took each other's
/// ports between the check and the bind.
fn process_loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 254, middle, low)
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
        let Ok(reservation) = UdpSocket::bind(address) else {
            continue;
        };
        if TcpListener::bind(address).is_ok() {
            let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
            reserved.push(reservation);
            return Ok(address);
        }
    }
    anyhow::bail!("no port from {PORT_FIRST} on is free")
}
