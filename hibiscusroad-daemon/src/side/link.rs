//! Takes links from entries, on a thread with tonic's runtime.

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

/// Frames that wait for one entry. What they hold is bounded by the gate's
/// window; a link whose queue is full is closed, and its entry attaches anew.
const QUEUE: usize = 4096;

/// How long a new link may take to say Hello.
const HELLO_LIMIT: Duration = Duration::from_secs(1);

/// How long a link may be silent until its task gives up. The gate closes it
/// earlier; this ends the task of a connection that broke without a word.
const TASK_SILENCE: Duration = LINK_TIMEOUT.saturating_mul(2);

/// How long the last frames may take to leave when the side stops.
const FLUSH_LIMIT: Duration = Duration::from_secs(1);

/// Time between signs of life on a connection without an open link.
const KEEPALIVE: Duration = Duration::from_secs(2);

/// The largest frame. An entry's largest request body has 1 MiB by default.
const LARGEST_FRAME: usize = 64 << 20;

/// The thread that takes links.
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
    /// Returns the system's error if the thread or the runtime can't be made.
    pub fn start(listener: TcpListener, events: Sender<Event>) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || serve(&runtime, listener, events, stopped))?;
        Ok(Self { stop, thread })
    }

    /// Ends the thread once the last frames have left, or after a second.
    pub fn stop(self) {
        drop(self.stop);
        if self.thread.join().is_err() {
            log::error!(target: LOG, "The thread of the links panicked.");
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
        let service = LinkServer::new(Links { events }).max_decoding_message_size(LARGEST_FRAME);
        let stopped = async move {
            // An error says that the sender was dropped, which is the signal.
            drop(stopped.await);
            drop(flush);
        };
        Transport::builder()
            .http2_keepalive_interval(Some(KEEPALIVE))
            .http2_keepalive_timeout(Some(KEEPALIVE))
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stopped)
            .await
            .map_err(io::Error::other)
    };
    let ended = runtime.block_on(async {
        let server = tokio::spawn(server);
        drop(flushed.await);
        timeout(FLUSH_LIMIT, server).await
    });
    if let Ok(Ok(Err(error))) = ended {
        log::error!(target: LOG, "Links can't be taken: {error}.");
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
        let first = timeout(HELLO_LIMIT, frames.message()).await;
        let first = first.map_err(|_error| Status::deadline_exceeded("no Hello came"))??;
        let hello = wire::hello(first).map_err(refuse)?;
        if hello.version != VERSION {
            return Err(other_version(hello.version));
        }
        let (out, queue) = mpsc::channel(QUEUE);
        let (reply, key) = oneshot::channel();
        let hello = wire::entry(hello);
        let back = out.downgrade();
        let open = Event::Open { hello, out, reply };
        self.hand_over(open).await?;
        let key = key.await.map_err(|_error| stopping())?;
        tokio::spawn(read(key, frames, self.events.clone(), back));
        Ok(Response::new(ReceiverStream::new(queue)))
    }
}

impl Links {
    async fn hand_over(&self, event: Event) -> Result<(), Status> {
        let sent = self.events.send_async(event).await;
        sent.map_err(|_error| stopping())
    }
}

/// Hands the frames of one link over until it ends.
///
/// A frame that can't be understood ends the link with a status that says so:
/// what it asked for is unknown, and going on would leave its sender waiting.
async fn read(
    key: LinkKey,
    mut frames: Streaming<ToSide>,
    events: Sender<Event>,
    back: WeakOutbound,
) {
    while let Ok(Ok(Some(frame))) = timeout(TASK_SILENCE, frames.message()).await {
        match wire::inbound(Instant::now(), frame) {
            Ok(frame) => {
                if hand_over(&events, key, frame).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::warn!(target: LOG, "A link is closed: {error}.");
                if let Some(out) = back.upgrade() {
                    // A full queue drops the reason, and the link closes all the same.
                    drop(out.try_send(Err(refuse(error))));
                }
                break;
            }
        }
    }
    // An actor that has ended needs no word.
    drop(events.send_async(Event::Lost(key)).await);
}

async fn hand_over(
    events: &Sender<Event>,
    key: LinkKey,
    frame: Inbound,
) -> Result<(), flume::SendError<Event>> {
    events.send_async(Event::Frame(key, frame)).await
}

fn refuse(error: wire::Broken) -> Status {
    Status::invalid_argument(error.to_string())
}

fn stopping() -> Status {
    Status::unavailable("the side has stopped")
}

fn other_version(theirs: u32) -> Status {
    Status::failed_precondition(format!(
        "wire-version: this side speaks version {VERSION} and the entry version {theirs}; \
         run the same release on both"
    ))
}
