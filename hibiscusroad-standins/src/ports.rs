//! Free ports for processes that tests and measurements start.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

// Below the ephemeral port range, so that outgoing connections can't take a port between
// its choice and its use.
const MIN_PORT: u16 = 10_000;
const MAX_PORT: u16 = 32_000;
// 2^32 divided by the golden ratio (Fibonacci hashing).
const HASH_MULTIPLIER: u32 = 2_654_435_761;

// Shared by the whole process, so that concurrent callers don't choose the same port.
static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

// Held while a port is probed and while a process is spawned. Between fork and exec, the
// child holds copies of all descriptors, including the listener of a concurrent probe,
// which would keep the port in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Runs `start`, which spawns a process, while no port is probed.
pub fn with_spawn_lock<T>(start: impl FnOnce() -> T) -> T {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    start()
}

/// Returns a free port on the loopback interface.
///
/// A port is returned again only after all others of the range were tried.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_port() -> io::Result<SocketAddr> {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let span = u32::from(MAX_PORT - MIN_PORT);
    // Processes with consecutive ids start at distant ports.
    let start = (process::id().wrapping_mul(HASH_MULTIPLIER) >> 8) % span;
    for _ in 0..span {
        let count = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % span;
        let offset = u16::try_from((start + count) % span).unwrap_or(0);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, MIN_PORT + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port"))
}
