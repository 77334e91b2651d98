//! A scripted sidecar, a host list and a caller for tests of the entry.

#![allow(dead_code, reason = "each test uses its part")]

use hibiscusroad_daemon::{
    entry::{self, Running},
    settings::Settings,
};
use hibiscusroad_wire::{
    Beat, Chunk, End, Head, Header, Id, ToEntry, ToSide, VERSION, Welcome,
    link_server::{Link, LinkServer},
    to_entry::Frame,
    to_side,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};

/// Handles a frame at a scripted sidecar, which sends Welcome and heartbeats itself.
pub type Script = dyn Fn(&Side, &Out, to_side::Frame) + Send + Sync;

/// A connection to the entry.
#[derive(Clone)]
pub struct Out {
    /// The epoch of its Hello.
    pub epoch: u64,
    frames: mpsc::Sender<Result<ToEntry, Status>>,
}

impl Out {
    pub fn send(&self, frame: Frame) {
        let _ = self.frames.try_send(Ok(ToEntry::from(frame)));
    }

    /// Breaks the connection.
    pub fn disconnect(&self) {
        let _ = self.frames.try_send(Err(Status::aborted("cut")));
    }

    /// Sends a complete answer.
    pub fn answer(&self, id: Option<Id>, body: &str) {
        self.head(id, "text/plain");
        self.chunk(id, 0, body);
        self.end(id, body.len());
    }

    pub fn head(&self, id: Option<Id>, kind: &str) {
        let headers = vec![Header {
            name: "Content-Type".to_owned(),
            value: kind.to_owned(),
        }];
        let status = 200;
        self.send(Frame::Head(Head {
            id,
            status,
            headers,
        }));
    }

    pub fn chunk(&self, id: Option<Id>, offset: u64, data: &str) {
        let data = data.as_bytes().to_vec();
        self.send(Frame::Chunk(Chunk { id, offset, data }));
    }

    pub fn end(&self, id: Option<Id>, length: usize) {
        let (length, runs) = (length as u64, Vec::new());
        self.send(Frame::End(End { id, length, runs }));
    }
}

/// A scripted sidecar.
#[derive(Clone)]
pub struct Side {
    pub address: SocketAddr,
    pub service: String,
    /// Sent in Welcome; a change simulates a restart.
    pub incarnation: Arc<AtomicU64>,
    /// Sent in Welcome.
    pub version: Arc<AtomicU32>,
    /// Connections up to this epoch send no more frames.
    pub silent: Arc<AtomicU64>,
    /// Whether new connections get no Welcome.
    pub no_welcome: Arc<AtomicBool>,
    /// The frames received, without heartbeats.
    pub received: Arc<Mutex<Vec<to_side::Frame>>>,
    script: Arc<Script>,
}

impl Side {
    pub fn start(
        service: &str,
        script: impl Fn(&Self, &Out, to_side::Frame) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let side = Self {
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            incarnation: Arc::new(AtomicU64::new(7)),
            version: Arc::new(AtomicU32::new(VERSION)),
            silent: Arc::default(),
            no_welcome: Arc::default(),
            received: Arc::default(),
            script: Arc::new(script),
        };
        let server = LinkServer::new(side.clone());
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async {
                let listener = tokio::net::TcpListener::from_std(listener).unwrap();
                tonic::transport::Server::builder()
                    .add_service(server)
                    .serve_with_incoming(TcpListenerStream::new(listener))
                    .await
                    .unwrap();
            });
        });
        side
    }

    /// Returns the number of received frames that match `predicate`.
    pub fn count(&self, predicate: impl Fn(&to_side::Frame) -> bool) -> usize {
        self.received
            .lock()
            .unwrap()
            .iter()
            .filter(|f| predicate(f))
            .count()
    }

    pub fn starts(&self) -> usize {
        self.count(|f| matches!(f, to_side::Frame::Start(_)))
    }

    fn is_silent(&self, epoch: u64) -> bool {
        epoch <= self.silent.load(Ordering::SeqCst)
    }

    fn welcome(&self) -> Frame {
        Frame::Welcome(Welcome {
            version: self.version.load(Ordering::SeqCst),
            side: "side".to_owned(),
            incarnation: self.incarnation.load(Ordering::SeqCst),
            service: self.service.clone(),
            place: "senec".to_owned(),
            limit: 64,
            config_version: 0,
        })
    }
}

#[tonic::async_trait]
impl Link for Side {
    type OpenStream = ReceiverStream<Result<ToEntry, Status>>;

    async fn open(
        &self,
        request: Request<Streaming<ToSide>>,
    ) -> Result<Response<Self::OpenStream>, Status> {
        let mut inbound = request.into_inner();
        let (frames, outbound) = mpsc::channel(4096);
        let side = self.clone();
        tokio::spawn(async move {
            let mut out = Out { epoch: 0, frames };
            while let Ok(Some(message)) = inbound.message().await {
                let frame = message.frame.unwrap();
                if let to_side::Frame::Hello(hello) = &frame {
                    out.epoch = hello.epoch;
                    if !side.no_welcome.load(Ordering::SeqCst) {
                        out.send(side.welcome());
                    }
                    tokio::spawn(beat(side.clone(), out.clone()));
                }
                if side.is_silent(out.epoch) || matches!(frame, to_side::Frame::Beat(_)) {
                    continue;
                }
                side.received.lock().unwrap().push(frame.clone());
                (side.script)(&side, &out, frame);
            }
        });
        Ok(Response::new(ReceiverStream::new(outbound)))
    }
}

async fn beat(side: Side, out: Out) {
    while !out.frames.is_closed() {
        tokio::time::sleep(Duration::from_millis(200)).await;
        if !side.is_silent(out.epoch) && !side.no_welcome.load(Ordering::SeqCst) {
            out.send(Frame::Beat(Beat::default()));
        }
    }
}

/// Serves a host list with these sidecars.
pub fn host_list(sides: &[&Side]) -> SocketAddr {
    let groups: Vec<String> = sides
        .iter()
        .enumerate()
        .map(|(i, side)| {
            let (address, service) = (side.address, &side.service);
            format!(
                r#"{{"targets":["{address}"],"labels":{{"host":"host-{i}","place":"senec","role":"side","service":"{service}","endpoint":"{service}-{i}","state":"live"}}}}"#
            )
        })
        .collect();
    let list = format!("[{}]", groups.join(","));
    let server = tiny_http::Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let _ = request.respond(tiny_http::Response::from_string(list.clone()));
        }
    });
    address
}

/// Starts an entry for these sidecars, without a table, and waits until it serves.
pub fn start(sides: &[&Side], extra_settings: &str) -> Running {
    start_with("http://127.0.0.1:1", sides, extra_settings)
}

/// Starts an entry for these sidecars, with a table, and waits until it serves.
pub fn start_with(table: &str, sides: &[&Side], extra_settings: &str) -> Running {
    let hosts = host_list(sides);
    let text = format!(
        r#"
        name = "entry-1"
        host = "host-1"
        place = "senec"
        region = "zapad"
        [platform]
        table = "{table}"
        hosts = "http://{hosts}"
        [stop]
        deadline_s = 5
        [entry]
        callers = "127.0.0.1:0"
        operators = "127.0.0.1:0"
        {extra_settings}
        "#
    );
    let settings: Settings = toml::from_str(&text).unwrap();
    let entry = entry::start(&settings).unwrap();
    for side in sides {
        wait_until(|| side.count(|f| matches!(f, to_side::Frame::Hello(_))) > 0);
    }
    thread::sleep(Duration::from_millis(50));
    entry
}

/// Waits for a condition and panics after five seconds.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..500 {
        if condition() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the condition did not hold within five seconds");
}

/// Sends bytes over a new connection and returns the bytes received until it is
/// closed or idle for two seconds.
pub fn raw(entry: &Running, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(entry.callers()).unwrap();
    let _ = stream.write_all(bytes);
    rest(&mut stream)
}

/// Reads until the connection is closed or idle for two seconds.
pub fn rest(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        all.extend_from_slice(&buf[..n]);
    }
    String::from_utf8_lossy(&all).into_owned()
}

/// Sends a request over a new connection and returns the answer.
pub fn call(entry: &Running, method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {length}\r\n{headers}\r\n{body}"
    );
    raw(entry, request.as_bytes())
}
