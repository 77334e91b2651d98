//! The client's end of a link: one task a connection.
//!
//! The task holds no state of the protocol. It opens the stream, hands frames
//! on in both directions and reports when the connection is gone; all decisions
//! are taken where the tables are. Reading waits for the tables when they are
//! behind, which stops the side's sending by HTTP/2's flow control. Writing
//! never waits: the tables must not stand still for one side, so a full queue
//! counts as a broken link.

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

/// Frames that may wait for one connection.
///
/// A side takes at most some hundred attempts at once, each a Start and a few
/// Acks: a queue this long means that the connection takes nothing any more.
const QUEUE_CAPACITY: usize = 1024;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes that a side may send ahead on one connection.
const RECEIVE_WINDOW_BYTES: u32 = 4 << 20;

/// The largest frame, which is a Start with the largest body and its headers.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// One open or opening connection. It ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    /// Its place in the row of connections to this side.
    pub epoch: u64,
    outgoing: mpsc::Sender<ToSide>,
    task: AbortHandle,
}

impl Link {
    /// Queues a frame.
    ///
    /// Returns false if the connection takes no more; the frame was not sent.
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

/// Opens links on a runtime of its own.
#[derive(Clone, Debug)]
pub struct Dialer {
    handle: Handle,
    events: Sender<Event>,
}

impl Dialer {
    /// Starts the thread that runs all links of this process.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread or its runtime can't be made.
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
        // The queue is new, so there is room.
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
            Ok(None) => return "closed by the side".to_owned(),
            Err(e) => return describe_error("broken", &e),
        };
        // A frame that this build doesn't know is left out; the versions in
        // Hello and Welcome say whether the two can talk at all.
        let Some(frame) = frame else { continue };
        let event = Event::Link(side, epoch, LinkEvent::Frame(frame));
        if events.send_async(event).await.is_err() {
            return "the process stops".to_owned();
        }
    }
}

fn describe_error(what: &str, error: &impl Display) -> String {
    format!("{what}: {error}")
}
