//! A TCP relay whose connections can be cut, delayed or made silent.
//!
//! The HTTP library doesn't hand out its sockets, so a server can't close a
//! connection without an answer, nor see that a caller has left. Every
//! stand-in therefore listens through a relay. Tests also put one between two
//! of the project's own processes.

use socket2::{Domain, Protocol, Socket, Type};
use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

const BACKLOG: i32 = 1024;
const BUFFER: usize = 16 * 1024;

/// A way through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the one that connected to the target.
    Forth,
    /// From the target back.
    Back,
}

#[derive(Debug)]
struct Line {
    caller: TcpStream,
    target: TcpStream,
    silent: [AtomicBool; 2],
}

impl Line {
    fn cut(&self) {
        // Both are closed even if one is gone already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    target: SocketAddr,
    lines: Mutex<HashMap<SocketAddr, Arc<Line>>>,
    delay: AtomicU64,
    dark: AtomicBool,
    stopping: AtomicBool,
}

impl Shared {
    fn lines(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Line>>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A relay from its own address to a target. Clones share it.
#[derive(Clone, Debug)]
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay that listens at `listen` and connects to `target`.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't listen.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = bind(listen)?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            target,
            lines: Mutex::new(HashMap::new()),
            delay: AtomicU64::new(0),
            dark: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        });
        let inner = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || accept(&listener, &inner))?;
        Ok(Self { shared })
    }

    /// Returns where the relay listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Closes all connections at once.
    pub fn cut_all(&self) {
        for line in self.shared.lines().values() {
            line.cut();
        }
    }

    /// Closes all connections but one.
    pub fn cut_others(&self, kept: SocketAddr) {
        for (peer, line) in self.shared.lines().iter() {
            if *peer != kept {
                line.cut();
            }
        }
    }

    /// Closes the connection that the target sees as coming from `peer`.
    pub fn cut(&self, peer: SocketAddr) {
        if let Some(line) = self.shared.lines().get(&peer) {
            line.cut();
        }
    }

    /// Says whether the connection that the target sees as coming from `peer`
    /// is still open.
    #[must_use]
    pub fn is_open(&self, peer: SocketAddr) -> bool {
        self.shared.lines().contains_key(&peer)
    }

    /// Makes all present connections silent in one direction, for good. They
    /// stay open, and new ones work.
    pub fn silence(&self, direction: Direction) {
        for line in self.shared.lines().values() {
            line.silent[direction as usize].store(true, Ordering::Relaxed);
        }
    }

    /// Lets nothing through any more, on present and new connections.
    pub fn go_dark(&self) {
        self.shared.dark.store(true, Ordering::Relaxed);
    }

    /// Lets bytes through again; connections that lost some are closed.
    pub fn lighten(&self) {
        self.shared.dark.store(false, Ordering::Relaxed);
        self.cut_all();
    }

    /// Says whether it has stopped.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.shared.stopping.load(Ordering::Acquire)
    }

    /// Delays all bytes by `delay`, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay.store(micros, Ordering::Relaxed);
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        if self.shared.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        // Wakes the thread that waits in accept; if it is gone, all is well.
        drop(TcpStream::connect(self.shared.addr));
        self.cut_all();
    }
}

/// Binds a listener whose connections send small writes at once.
///
/// Accepted sockets inherit the option. Without it a small write that follows
/// another waits for the peer's delayed acknowledgement, 40 ms.
///
/// # Errors
///
/// Returns the system's error.
pub fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(listen),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&listen.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for caller in listener.incoming() {
        if shared.stopping.load(Ordering::Acquire) {
            return;
        }
        // One connection that fails must not end the others.
        let _ = caller.and_then(|caller| open(caller, shared));
    }
}

fn open(caller: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    let target = TcpStream::connect(shared.target)?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let peer = target.local_addr()?;
    let line = Arc::new(Line {
        caller,
        target,
        silent: [AtomicBool::new(false), AtomicBool::new(false)],
    });
    shared.lines().insert(peer, Arc::clone(&line));
    for direction in [Direction::Forth, Direction::Back] {
        let (line, shared) = (Arc::clone(&line), Arc::clone(shared));
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || {
                // An end of either direction, clean or not, ends the connection.
                let _ = copy(&line, direction, &shared);
                line.cut();
                shared.lines().remove(&peer);
            })?;
    }
    Ok(())
}

fn copy(line: &Line, direction: Direction, shared: &Shared) -> io::Result<()> {
    let (mut from, mut to) = match direction {
        Direction::Forth => (&line.caller, &line.target),
        Direction::Back => (&line.target, &line.caller),
    };
    let mut buffer = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        match shared.delay.load(Ordering::Relaxed) {
            0 => {}
            micros => thread::sleep(Duration::from_micros(micros)),
        }
        let silent = line.silent[direction as usize].load(Ordering::Relaxed);
        if !silent && !shared.dark.load(Ordering::Relaxed) {
            to.write_all(&buffer[..count])?;
        }
    }
}
