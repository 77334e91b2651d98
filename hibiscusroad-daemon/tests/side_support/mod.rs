//! A sidecar on a thread, a scripted entry and a scripted endpoint.

#![allow(dead_code, reason = "each test uses only some of it")]

use hibiscusroad_daemon::{
    settings::{Kind, Settings, Side},
    side::{self, Handle, ReadLease},
};
use hibiscusroad_wire::{
    Ack, Attach, Beat, Hello, Id, Seal, Start, ToSide, VERSION, link_client::LinkClient, to_entry,
    to_side,
};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Status;

pub type Frame = to_entry::Frame;

/// Timeout of a wait; longer than any takes on a busy host.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a sidecar for the endpoint at `address`, without readable lease rows.
pub fn start_side(address: SocketAddr, edit: impl FnOnce(&mut Settings)) -> RunningSide {
    start_side_with(address, Arc::new(|_| None), edit)
}

/// Starts a sidecar that reads lease rows with `read_lease`.
pub fn start_side_with(
    address: SocketAddr,
    read_lease: ReadLease,
    edit: impl FnOnce(&mut Settings),
) -> RunningSide {
    let mut settings: Settings = toml::from_str(
        r#"
        name = "side-1"
        host = "host-1"
        place = "senec"
        region = "zapad"
        [platform]
        table = "http://127.0.0.1:1"
        hosts = "http://127.0.0.1:1"
        [side]
        links = "127.0.0.1:0"
        service = "hut-desk"
        endpoint = "hut-desk-1"
        address = "127.0.0.1:1"
        kind = "plain"
        limit = 8
        "#,
    )
    .unwrap();
    side_of(&mut settings).address = address;
    edit(&mut settings);
    let (sender, handles) = flume::bounded(1);
    let thread = thread::spawn(move || {
        side::serve(&settings, read_lease, |handle| sender.send(handle).unwrap()).unwrap();
    });
    RunningSide {
        handle: handles.recv_timeout(TEST_TIMEOUT).unwrap(),
        thread: Some(thread),
    }
}

pub fn side_of(settings: &mut Settings) -> &mut Side {
    settings.side.as_mut().unwrap()
}

pub fn set_model_kind(settings: &mut Settings) {
    side_of(settings).kind = Kind::Model;
}

pub struct RunningSide {
    pub handle: Handle,
    thread: Option<JoinHandle<()>>,
}

impl RunningSide {
    /// Requests a graceful shutdown.
    pub fn stop(&self) {
        self.handle.stop();
    }

    /// Waits until the sidecar has ended.
    pub fn join(&mut self) {
        self.thread.take().unwrap().join().unwrap();
    }

    pub fn has_ended(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for RunningSide {
    fn drop(&mut self) {
        self.handle.stop();
    }
}

/// One stream of a scripted entry.
pub struct Link {
    origin: u64,
    out: UnboundedSender<ToSide>,
    frames: flume::Receiver<Result<Frame, Status>>,
    heartbeats_on: Arc<AtomicBool>,
}

impl Link {
    /// Opens a stream and waits for Welcome.
    pub fn open(side: &RunningSide, origin: u64, epoch: u64) -> Self {
        Self::open_at(side.handle.links, origin, epoch)
    }

    /// Opens a stream to the sidecar at `links` and waits for Welcome.
    pub fn open_at(links: SocketAddr, origin: u64, epoch: u64) -> Self {
        let link = Self::hello(links, origin, epoch, VERSION);
        assert!(matches!(link.next(), Frame::Welcome(_)));
        link
    }

    /// Opens a stream as an entry with the given wire version.
    pub fn hello(links: SocketAddr, origin: u64, epoch: u64, version: u32) -> Self {
        let (out, queue) = unbounded_channel();
        let (sender, frames) = flume::unbounded();
        let hello = Hello {
            version,
            entry: "entry-1".to_owned(),
            incarnation: origin,
            epoch,
            config_version: 0,
        };
        out.send(to_side::Frame::Hello(hello).into()).unwrap();
        let heartbeats_on = Arc::new(AtomicBool::new(true));
        let (weak_out, enabled) = (out.downgrade(), Arc::clone(&heartbeats_on));
        thread::spawn(move || {
            runtime().block_on(async move {
                tokio::spawn(async move {
                    while let Some(out) = weak_out.upgrade() {
                        if enabled.load(Ordering::SeqCst) {
                            drop(out.send(to_side::Frame::Beat(Beat::default()).into()));
                        }
                        drop(out);
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                });
                let mut client = LinkClient::connect(format!("http://{links}"))
                    .await
                    .unwrap();
                let queue = UnboundedReceiverStream::new(queue);
                let mut frames = match client.open(queue).await {
                    Ok(response) => response.into_inner(),
                    Err(status) => return drop(sender.send(Err(status))),
                };
                loop {
                    match frames.message().await {
                        Ok(Some(frame)) => drop(sender.send(Ok(frame.frame.unwrap()))),
                        Ok(None) => return,
                        Err(status) => return drop(sender.send(Err(status))),
                    }
                }
            });
        });
        Self {
            origin,
            out,
            frames,
            heartbeats_on,
        }
    }

    /// Stops the heartbeats, as if the connection had failed silently.
    pub fn stop_heartbeats(&self) {
        self.heartbeats_on.store(false, Ordering::SeqCst);
    }

    pub fn send(&self, frame: to_side::Frame) {
        drop(self.out.send(frame.into()));
    }

    /// Starts `GET` of a path as attempt `seq`.
    pub fn get(&self, seq: u64, path: &str) {
        self.send(to_side::Frame::Start(self.start(seq, "GET", path)));
    }

    /// Starts `POST` of a path as attempt `seq`, which may run only once.
    pub fn post_once(&self, seq: u64, path: &str) {
        let mut start = self.start(seq, "POST", path);
        start.once = true;
        start.key = format!("key-{seq}");
        start.body = b"two beds".to_vec();
        self.send(to_side::Frame::Start(start));
    }

    pub fn start(&self, seq: u64, method: &str, path: &str) -> Start {
        Start {
            id: self.id(seq),
            method: method.to_owned(),
            path: path.to_owned(),
            remaining_ms: 8_000,
            ..Start::default()
        }
    }

    #[expect(clippy::unnecessary_wraps, reason = "the frames' fields are optional")]
    pub fn id(&self, seq: u64) -> Option<Id> {
        let origin = self.origin;
        Some(Id { origin, seq })
    }

    pub fn attach(&self, seq: u64, offset: u64) {
        let id = self.id(seq);
        self.send(to_side::Frame::Attach(Attach { id, offset }));
    }

    pub fn ack(&self, seq: u64, offset: u64, done: bool) {
        let id = self.id(seq);
        self.send(to_side::Frame::Ack(Ack { id, offset, done }));
    }

    pub fn seal(&self, seq: u64) {
        let id = self.id(seq);
        self.send(to_side::Frame::Seal(Seal { id }));
    }

    /// Returns the next frame or status; none if the stream ended or on timeout.
    pub fn next_result(&self) -> Option<Result<Frame, Status>> {
        self.frames.recv_timeout(TEST_TIMEOUT).ok()
    }

    /// Returns the next frame that is not a heartbeat.
    pub fn next(&self) -> Frame {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            assert!(Instant::now() < deadline, "only heartbeats were received");
            match self.next_result().expect("a frame").expect("no status") {
                Frame::Beat(_) => {}
                frame => return frame,
            }
        }
    }

    /// Returns the next heartbeat.
    pub fn next_heartbeat(&self) -> Beat {
        loop {
            if let Frame::Beat(heartbeat) = self.next_result().unwrap().unwrap() {
                return heartbeat;
            }
        }
    }

    /// Reads one complete answer and acknowledges its chunks.
    pub fn answer(&self, seq: u64) -> Answer {
        self.answer_from(seq, 0)
    }

    /// Reads the rest of an answer from `offset` on.
    pub fn answer_from(&self, seq: u64, offset: u64) -> Answer {
        let mut answer = Answer {
            status: 0,
            body: Vec::new(),
            runs: Vec::new(),
        };
        loop {
            match self.next() {
                Frame::Head(head) => answer.status = head.status,
                Frame::Chunk(chunk) => {
                    assert_eq!(chunk.id, self.id(seq));
                    assert_eq!(chunk.offset, offset + answer.body.len() as u64);
                    answer.body.extend(chunk.data);
                    self.ack(seq, offset + answer.body.len() as u64, false);
                }
                Frame::End(end) => {
                    assert_eq!(end.length, offset + answer.body.len() as u64);
                    self.ack(seq, end.length, true);
                    let runs = end.runs.into_iter();
                    answer.runs = runs.map(|run| (run.version, run.first)).collect();
                    return answer;
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Skips the answer's head and chunks and returns the problem code of the next
    /// refusal.
    pub fn refusal(&self) -> String {
        self.cut_answer().1
    }

    /// Skips the answer's head and chunks; returns whether there was a head, and the problem code
    /// of the next refusal.
    pub fn cut_answer(&self) -> (bool, String) {
        let mut has_head = false;
        loop {
            match self.next() {
                Frame::Refused(refused) => return (has_head, refused.problem),
                Frame::Head(_) => has_head = true,
                Frame::Chunk(_) => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
}

#[derive(Debug)]
pub struct Answer {
    pub status: u32,
    pub body: Vec<u8>,
    pub runs: Vec<(String, u64)>,
}

/// An endpoint whose answers are written by a closure.
pub struct Endpoint {
    pub address: SocketAddr,
    paths: Arc<Mutex<Vec<String>>>,
}

impl Endpoint {
    /// Starts the endpoint; `script` gets the path and writes the answer.
    pub fn start(script: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let paths = Arc::new(Mutex::new(Vec::new()));
        let (script, calls) = (Arc::new(script), Arc::clone(&paths));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (script, calls) = (Arc::clone(&script), Arc::clone(&calls));
                thread::spawn(move || serve(stream.unwrap(), &*script, &calls));
            }
        });
        Self { address, paths }
    }

    /// Returns how many calls were made to a path.
    pub fn count(&self, path: &str) -> usize {
        let paths = self.paths.lock().unwrap();
        paths.iter().filter(|called| *called == path).count()
    }

    /// Waits until a path was called.
    pub fn wait_for_call(&self, path: &str) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.count(path) == 0 {
            assert!(Instant::now() < deadline, "{path} was not called");
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn serve(mut stream: TcpStream, script: &dyn Fn(&str, &mut TcpStream), paths: &Mutex<Vec<String>>) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(path) = read_request(&mut reader) {
        paths.lock().unwrap().push(path.clone());
        script(&path, &mut stream);
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(path)
}

/// Writes a complete answer.
pub fn answer(stream: &mut TcpStream, body: &str) {
    let length = body.len();
    // A single write, since a second one would wait for a delayed acknowledgement.
    let message = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
    drop(stream.write_all(message.as_bytes()));
}

/// Writes the status line and headers of an event stream.
pub fn write_events_head(stream: &mut TcpStream) {
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    drop(stream.write_all(head.as_bytes()));
}

/// Writes one event as one chunk. Returns false if the connection is closed.
pub fn write_event(stream: &mut TcpStream, data: &str) -> bool {
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    stream.write_all(chunk.as_bytes()).is_ok()
}

/// Writes the end of a chunked answer.
pub fn write_events_end(stream: &mut TcpStream) {
    drop(stream.write_all(b"0\r\n\r\n"));
}
