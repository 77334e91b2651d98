//! Free ports for processes that a test or a measurement starts.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

// Below the range from which the system takes ports for outgoing connections:
// a port from it could be taken between its choice and its use.
const FIRST: u16 = 10_000;
const LAST: u16 = 32_000;
// 2^32 divided by the golden ratio, which spreads neighbours over the range.
const SPREAD: u32 = 2_654_435_761;

// One for the whole process: two deployments that are started at once, by two
// tests, must not both find a port free before either uses it.
static NEXT: AtomicU32 = AtomicU32::new(0);

// Held while a port is tried and while a process is started. A process that is
// being started holds copies of all descriptors until it runs its program: one of
// a port that another thread tries just then would keep the port taken for some
// milliseconds, and whoever was given it could not listen.
static APART: Mutex<()> = Mutex::new(());

/// Starts a process while no port is tried.
pub fn apart<T>(start: impl FnOnce() -> T) -> T {
    let _apart = APART.lock().unwrap_or_else(PoisonError::into_inner);
    start()
}

/// Chooses a free port on the loopback interface that this process has not
/// chosen lately.
///
/// # Errors
///
/// Returns an error if there is none.
pub fn choose() -> io::Result<SocketAddr> {
    let _apart = APART.lock().unwrap_or_else(PoisonError::into_inner);
    let span = u32::from(LAST - FIRST);
    // Neighbouring process ids begin far from each other.
    let first = (process::id().wrapping_mul(SPREAD) >> 8) % span;
    for _ in 0..span {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % span;
        let offset = u16::try_from((first + number) % span).unwrap_or(0);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free port"))
}
