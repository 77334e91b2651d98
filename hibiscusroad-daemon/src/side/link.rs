//! Server for the streams from entries, on a thread with tonic's runtime.

use crate::side::{LOG, event::Event, request::Inbound, wire};
use flume::Sender;
use hibiscusroad::gate::{LINK_TIMEOUT, LinkKey};
use hibiscusroad_wire::{
    ToEntry, ToSide, VERSION,
    link_server::{Link, LinkServer},
};
use std::{
    io,
    net::TcpListener,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};
use tokio::{
    runtime::{Builder, Runtime},
    sync::{mpsc, oneshot},
    time::timeout,
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{
    Request, Response, Status, Streaming,
    transport::{Server as Transport, server::TcpIncoming},
};

/// Capacity of the queue of frames to one entry. The gate's window bounds their
/// bytes. A stream whose queue is full is closed, and its entry attaches again.
const QUEUE_CAPACITY: usize = 4096;

/// How long a new stream may take to send Hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a stream may be silent until the task that reads it ends. The gate
/// closes the stream earlier; this ends the task of a connection that was lost
/// without being closed.
const READ_TIMEOUT: Duration = LINK_TIMEOUT.saturating_mul(2);

/// How long queued frames may take to be sent when the sidecar stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval and timeout of HTTP/2 keepalive pings. They detect a lost connection
/// that has no open stream.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum size of a frame, in bytes. It is far above the default limit of a
/// request body.
const MAX_FRAME_SIZE: usize = 64 << 20;

/// The thread that accepts streams.
#[derive(Debug)]
pub struct Server {
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Server {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread or the runtime can't be created.
    pub fn start(listener: TcpListener, events: Sender<Event>) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || serve(&runtime, listener, events, stopped))?;
        Ok(Self { stop, thread })
    }

    /// Ends the thread once the queued frames are sent, or after a timeout.
    pub fn stop(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            log::error!(target: LOG, "The stream server's thread panicked.");
        }
    }
}

fn serve(
    runtime: &Runtime,
    listener: TcpListener,
    events: Sender<Event>,
    stopped: oneshot::Receiver<()>,
) {
    let (flush, flushed) = oneshot::channel::<()>();
    let server = async {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = LinkServer::new(Links { events }).max_decoding_message_size(MAX_FRAME_SIZE);
        let stopped = async move {
            // The sender is dropped to signal the stop, so this is an error.
            drop(stopped.await);
            drop(flush);
        };
        Transport::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stopped)
            .await
            .map_err(io::Error::other)
    };
    let ended = runtime.block_on(async {
        let server = tokio::spawn(server);
        drop(flushed.await);
        timeout(FLUSH_TIMEOUT, server).await
    });
    if let Ok(Ok(Err(error))) = ended {
        log::error!(target: LOG, "Streams can't be accepted: {error}.");
    }
}

type WeakOutbound = mpsc::WeakSender<Result<ToEntry, Status>>;

#[derive(Debug)]
struct Links {
    events: Sender<Event>,
}

#[tonic::async_trait]
impl Link for Links {
    type OpenStream = ReceiverStream<Result<ToEntry, Status>>;

    async fn open(
        &self,
        request: Request<Streaming<ToSide>>,
    ) -> Result<Response<Self::OpenStream>, Status> {
        let mut frames = request.into_inner();
        let first = timeout(HELLO_TIMEOUT, frames.message()).await;
        let first = first.map_err(|_error| Status::deadline_exceeded("no Hello came"))??;
        let hello = wire::hello(first).map_err(invalid_frame)?;
        if hello.version != VERSION {
            return Err(version_mismatch(hello.version));
        }
        let (out, queue) = mpsc::channel(QUEUE_CAPACITY);
        let (reply, key) = oneshot::channel();
        let hello = wire::entry_hello(hello);
        let weak_out = out.downgrade();
        let open = Event::Open { hello, out, reply };
        self.send_event(open).await?;
        let key = key.await.map_err(|_error| stopping())?;
        tokio::spawn(read_frames(key, frames, self.events.clone(), weak_out));
        Ok(Response::new(ReceiverStream::new(queue)))
    }
}

impl Links {
    async fn send_event(&self, event: Event) -> Result<(), Status> {
        let sent = self.events.send_async(event).await;
        sent.map_err(|_error| stopping())
    }
}

/// Sends the frames of one stream to the actor until the stream ends.
///
/// An invalid frame ends the stream with a status that says so. Ignoring it would
/// leave the sender waiting for a reply.
async fn read_frames(
    key: LinkKey,
    mut frames: Streaming<ToSide>,
    events: Sender<Event>,
    weak_out: WeakOutbound,
) {
    while let Ok(Ok(Some(frame))) = timeout(READ_TIMEOUT, frames.message()).await {
        match wire::inbound(Instant::now(), frame) {
            Ok(frame) => {
                if send_frame(&events, key, frame).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!(target: LOG, "A stream from an entry is closed: {error}.");
                if let Some(out) = weak_out.upgrade() {
                    // If the queue is full, the stream closes without the reason.
                    drop(out.try_send(Err(invalid_frame(error))));
                }
                break;
            }
        }
    }
    // Fails only if the actor has ended.
    drop(events.send_async(Event::Lost(key)).await);
}

async fn send_frame(
    events: &Sender<Event>,
    key: LinkKey,
    frame: Inbound,
) -> Result<(), flume::SendError<Event>> {
    events.send_async(Event::Frame(key, frame)).await
}

fn invalid_frame(error: wire::InvalidFrame) -> Status {
    Status::invalid_argument(error.to_string())
}

fn stopping() -> Status {
    Status::unavailable("the side has stopped")
}

fn version_mismatch(entry_version: u32) -> Status {
    Status::failed_precondition(format!(
        "wire-version: this side speaks version {VERSION} and the entry version {entry_version}; \
         run the same release on both"
    ))
}
