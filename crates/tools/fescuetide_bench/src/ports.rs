//! Free ports on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

/// Ports are taken below the range that the kernel uses for outgoing connections, which starts at 32768.
const PORT_FIRST: u16 = 10_000;
const PORT_COUNT: u16 = 22_000;

/// Distance between the starting points of processes with successive ids.
const PORT_STRIDE: u32 = 211;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// UDP sockets on the ports that were handed out. They reserve the TCP ports of the same numbers among test processes,
/// since a child binds its TCP port only later; 2 of 275 fleets did not start because another process had taken one.
static RESERVED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// The loopback address of this process. Test programs that run at the same time took each other's ports between the
/// look for a free one and its use, when all used 127.0.0.1.
fn own_host() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 254, middle, low)
}

/// Finds a free port on this process's loopback address that it has not handed out before.
///
/// # Errors
///
/// Fails when no port in the range is free.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    let start = (std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_FIRST + (start + step % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from((own_host(), port));
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
