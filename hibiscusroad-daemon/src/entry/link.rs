//! The client end of the stream to a sidecar: one task per connection.
//!
//! The task holds no protocol state. It opens the stream, forwards frames in both
//! directions and reports when the connection ends; the tables make all
//! decisions. Reading blocks while the tables are behind, which makes HTTP/2 flow
//! control stop the sidecar's sending. Writing never blocks, because one sidecar
//! must not stall the tables; a full queue counts as a broken connection.

use crate::entry::{
    event::{Event, LinkEvent},
    side::SideKey,
};
use flume::Sender;
use hibiscusroad_wire::{ToSide, link_client::LinkClient, to_side::Frame};
use std::{fmt::Display, io, net::SocketAddr, thread, time::Duration};
use tokio::{
    runtime::{Builder, Handle},
    sync::mpsc,
    task::AbortHandle,
    time,
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;

/// Frames that may be queued for one connection.
///
/// A sidecar runs at most some hundred attempts at once, each with a Start and a
/// few Acks, so a full queue means that the connection is stalled.
const QUEUE_CAPACITY: usize = 1024;

/// Limit for connecting, and again for opening the stream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// HTTP/2 receive window of a connection, in bytes.
const RECEIVE_WINDOW_BYTES: u32 = 4 << 20;

/// Size limit of a frame; the largest is a Start with a full-size body and headers.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// An open or opening connection, closed on drop.
#[derive(Debug)]
pub struct Link {
    /// Its number among the connections to this sidecar.
    pub epoch: u64,
    outgoing: mpsc::Sender<ToSide>,
    task: AbortHandle,
}

impl Link {
    /// Queues a frame.
    ///
    /// Returns false if the queue is full or closed; the frame was not sent.
    #[must_use]
    pub fn send(&self, frame: Frame) -> bool {
        self.outgoing.try_send(ToSide::from(frame)).is_ok()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens connections on its own runtime.
#[derive(Clone, Debug)]
pub struct Dialer {
    handle: Handle,
    events: Sender<Event>,
}

impl Dialer {
    /// Starts the thread that runs all connections of this process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread or its runtime can't be created.
    pub fn start(events: Sender<Event>) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(Self { handle, events })
    }

    /// Opens a connection; `hello` is the first frame on it.
    #[must_use]
    pub fn dial(&self, side: SideKey, epoch: u64, address: SocketAddr, hello: Frame) -> Link {
        let (outgoing, frames) = mpsc::channel(QUEUE_CAPACITY);
        let events = self.events.clone();
        // The queue is empty, so this can't fail.
        let _ = outgoing.try_send(ToSide::from(hello));
        let task = self.handle.spawn(async move {
            let reason = serve(side, epoch, address, frames, &events).await;
            let down = LinkEvent::Down(reason);
            let _ = events.send_async(Event::Link(side, epoch, down)).await;
        });
        Link {
            epoch,
            outgoing,
            task: task.abort_handle(),
        }
    }
}

/// Serves one connection and returns why it ended.
async fn serve(
    side: SideKey,
    epoch: u64,
    address: SocketAddr,
    frames: mpsc::Receiver<ToSide>,
    events: &Sender<Event>,
) -> String {
    let endpoint = match Endpoint::from_shared(format!("http://{address}")) {
        Ok(endpoint) => endpoint,
        Err(e) => return describe_error("bad address", &e),
    };
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .initial_connection_window_size(RECEIVE_WINDOW_BYTES)
        .initial_stream_window_size(RECEIVE_WINDOW_BYTES);
    let channel = match endpoint.connect().await {
        Ok(channel) => channel,
        Err(e) => return describe_error("can't connect", &e),
    };
    let mut client = LinkClient::new(channel)
        .max_decoding_message_size(MAX_FRAME_BYTES)
        .max_encoding_message_size(MAX_FRAME_BYTES);
    let opening = client.open(ReceiverStream::new(frames));
    let mut frames = match time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(response)) => response.into_inner(),
        Ok(Err(e)) => return describe_error("refused", &e),
        Err(e) => return describe_error("no answer", &e),
    };
    loop {
        let frame = match frames.message().await {
            Ok(Some(message)) => message.frame,
            Ok(None) => return "closed by the sidecar".to_owned(),
            Err(e) => return describe_error("broken", &e),
        };
        // Frames unknown to this build are ignored; the versions in Hello and
        // Welcome decide whether the two ends are compatible.
        let Some(frame) = frame else { continue };
        let event = Event::Link(side, epoch, LinkEvent::Frame(frame));
        if events.send_async(event).await.is_err() {
            return "the process is stopping".to_owned();
        }
    }
}

fn describe_error(what: &str, error: &impl Display) -> String {
    format!("{what}: {error}")
}
