//! A TCP relay that can close, delay or silence its connections.
//!
//! `tiny_http` doesn't expose its sockets, so a server can't close a connection without an
//! answer or notice that a caller has disconnected. Every stand-in therefore listens
//! through a relay. Tests also use relays between processes under test.

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
const BUFFER_BYTES: usize = 16 * 1024;

/// A direction through the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the caller to the target.
    Forth,
    /// From the target to the caller.
    Back,
}

#[derive(Debug)]
struct Connection {
    caller: TcpStream,
    target: TcpStream,
    /// Whether bytes are dropped, by [`Direction`].
    silenced: [AtomicBool; 2],
}

impl Connection {
    fn close(&self) {
        // Both are shut down even if one fails because it is closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.target.shutdown(Shutdown::Both);
    }
}

#[derive(Debug)]
struct Shared {
    addr: SocketAddr,
    target: SocketAddr,
    /// Connections by the caller's address as the target sees it.
    connections: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
    delay_us: AtomicU64,
    drops_traffic: AtomicBool,
    stopping: AtomicBool,
}

impl Shared {
    fn connections(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A relay to a target address. Clones share the relay.
#[derive(Clone, Debug)]
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay that listens at `listen` and connects to `target`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = bind(listen)?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            target,
            connections: Mutex::new(HashMap::new()),
            delay_us: AtomicU64::new(0),
            drops_traffic: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        });
        let inner = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || accept(&listener, &inner))?;
        Ok(Self { shared })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Closes all connections.
    pub fn cut_all(&self) {
        for connection in self.shared.connections().values() {
            connection.close();
        }
    }

    /// Closes all connections except the one that the target sees as coming from `kept`.
    pub fn cut_others(&self, kept: SocketAddr) {
        for (peer, connection) in self.shared.connections().iter() {
            if *peer != kept {
                connection.close();
            }
        }
    }

    /// Closes the connection that the target sees as coming from `peer`.
    pub fn cut(&self, peer: SocketAddr) {
        if let Some(connection) = self.shared.connections().get(&peer) {
            connection.close();
        }
    }

    /// Returns whether the connection that the target sees as coming from `peer` is open.
    #[must_use]
    pub fn is_open(&self, peer: SocketAddr) -> bool {
        self.shared.connections().contains_key(&peer)
    }

    /// Drops all further bytes of the current connections in one direction.
    ///
    /// The connections stay open. New connections are not affected.
    pub fn silence(&self, direction: Direction) {
        for connection in self.shared.connections().values() {
            connection.silenced[direction as usize].store(true, Ordering::Relaxed);
        }
    }

    /// Drops all bytes of current and new connections, which stay open.
    pub fn drop_traffic(&self) {
        self.shared.drops_traffic.store(true, Ordering::Relaxed);
    }

    /// Ends the effect of [`drop_traffic`](Self::drop_traffic) and closes all connections.
    pub fn restore_traffic(&self) {
        self.shared.drops_traffic.store(false, Ordering::Relaxed);
        self.cut_all();
    }

    /// Returns whether the relay has stopped.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.shared.stopping.load(Ordering::Acquire)
    }

    /// Delays each read by `delay`, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay_us.store(micros, Ordering::Relaxed);
    }

    /// Stops listening and closes all connections.
    pub fn stop(&self) {
        if self.shared.stopping.swap(true, Ordering::AcqRel) {
            return;
        }
        // Wakes the accept thread; fails if the thread has ended.
        drop(TcpStream::connect(self.shared.addr));
        self.cut_all();
    }
}

/// Binds a listener with `TCP_NODELAY`, which accepted sockets inherit.
///
/// Without it, a small write after another waits for the peer's delayed acknowledgement.
///
/// # Errors
///
/// Returns an I/O error if the address can't be bound.
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
        // A connection that fails must not stop the relay.
        let _ = caller.and_then(|caller| open(caller, shared));
    }
}

fn open(caller: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    let target = TcpStream::connect(shared.target)?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let peer = target.local_addr()?;
    let connection = Arc::new(Connection {
        caller,
        target,
        silenced: [AtomicBool::new(false), AtomicBool::new(false)],
    });
    shared.connections().insert(peer, Arc::clone(&connection));
    for direction in [Direction::Forth, Direction::Back] {
        let (connection, shared) = (Arc::clone(&connection), Arc::clone(shared));
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || {
                // When either direction ends, the connection is closed.
                let _ = copy(&connection, direction, &shared);
                connection.close();
                shared.connections().remove(&peer);
            })?;
    }
    Ok(())
}

fn copy(connection: &Connection, direction: Direction, shared: &Shared) -> io::Result<()> {
    let (mut from, mut to) = match direction {
        Direction::Forth => (&connection.caller, &connection.target),
        Direction::Back => (&connection.target, &connection.caller),
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        match shared.delay_us.load(Ordering::Relaxed) {
            0 => {}
            micros => thread::sleep(Duration::from_micros(micros)),
        }
        let silenced = connection.silenced[direction as usize].load(Ordering::Relaxed);
        if !silenced && !shared.drops_traffic.load(Ordering::Relaxed) {
            to.write_all(&buffer[..count])?;
        }
    }
}
