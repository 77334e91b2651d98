//! Conversion between generated frames and the sidecar's types.

use crate::side::request::{Hello, Http, Inbound, Order, Request};
use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    gate::{AttemptState, Frame, Head, Header, StartRequest, VersionRun},
};
use hibiscusroad_wire::{
    self as wire, State, ToEntry, to_entry::Frame as Out, to_side::Frame as In,
};
use std::time::{Duration, Instant};

/// Why a frame is invalid.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum InvalidFrame {
    /// The frame is empty or of an unknown kind.
    #[error("the frame is of no known kind")]
    UnknownKind,
    /// The frame has no attempt id.
    #[error("the frame names no attempt")]
    MissingId,
    /// The first frame is not Hello, or a later one is.
    #[error("Hello is sent first and once")]
    HelloOrder,
}

/// Reads the first frame of a stream.
///
/// # Errors
///
/// Returns [`InvalidFrame`] if it isn't Hello.
pub fn hello(frame: Option<wire::ToSide>) -> Result<wire::Hello, InvalidFrame> {
    match frame.and_then(|frame| frame.frame) {
        Some(In::Hello(hello)) => Ok(hello),
        _ => Err(InvalidFrame::HelloOrder),
    }
}

/// Converts a Hello.
#[must_use]
pub fn entry_hello(hello: wire::Hello) -> Hello {
    Hello {
        entry: hello.entry,
        incarnation: Incarnation(hello.incarnation),
        epoch: hello.epoch,
        config_version: hello.config_version,
    }
}

/// Converts a frame that arrived at `now`.
///
/// # Errors
///
/// Returns [`InvalidFrame`] if the frame is invalid.
pub fn inbound(now: Instant, frame: wire::ToSide) -> Result<Inbound, InvalidFrame> {
    Ok(match frame.frame.ok_or(InvalidFrame::UnknownKind)? {
        In::Hello(_) => return Err(InvalidFrame::HelloOrder),
        In::Start(start) => Inbound::Start(Box::new(request(now, start)?)),
        In::Attach(attach) => Inbound::Attach(id(attach.id)?, attach.offset),
        In::Ack(ack) => Inbound::Ack(id(ack.id)?, ack.offset, ack.done),
        In::Cancel(cancel) => Inbound::Cancel(id(cancel.id)?),
        In::Seal(seal) => Inbound::Seal(id(seal.id)?),
        In::Beat(beat) => Inbound::Beat(beat.config_version, beat.leaving),
        In::Config(config) => Inbound::Config(config.version, config.document),
        In::Order(order) => Inbound::Order(Box::new(self::order(order))),
    })
}

fn request(now: Instant, start: wire::Start) -> Result<Request, InvalidFrame> {
    let remaining = Duration::from_millis(start.remaining_ms.into());
    let repeat = if start.once {
        Repeat::Once
    } else {
        Repeat::Idempotent
    };
    let headers = start.headers.into_iter().map(|header| Header {
        name: header.name,
        value: header.value,
    });
    Ok(Request {
        attempt: StartRequest {
            id: id(start.id)?,
            deadline: now + remaining,
            repeat,
        },
        http: Http {
            method: start.method,
            path: start.path,
            headers: headers.collect(),
            body: start.body,
        },
    })
}

fn order(order: wire::Order) -> Order {
    let json = Header {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    };
    Order {
        seq: order.seq,
        fence: order.fence,
        duty: order.duty,
        http: Http {
            method: order.method,
            path: order.path,
            headers: vec![json],
            body: order.body,
        },
    }
}

fn id(id: Option<wire::Id>) -> Result<RequestId, InvalidFrame> {
    let id = id.ok_or(InvalidFrame::MissingId)?;
    Ok(RequestId {
        origin: Incarnation(id.origin),
        seq: id.seq,
    })
}

/// Converts a frame of the gate. `retry_delay` is sent with a refusal.
#[must_use]
pub fn outbound(frame: &Frame, retry_delay: Duration) -> ToEntry {
    ToEntry::from(match frame {
        Frame::Head { id, head } => Out::Head(wire_head(*id, head)),
        Frame::Chunk { id, chunk } => Out::Chunk(wire::Chunk {
            id: wire_id(*id),
            offset: chunk.offset,
            data: chunk.data.to_vec(),
        }),
        Frame::End { id, length, runs } => Out::End(wire::End {
            id: wire_id(*id),
            length: *length,
            runs: runs.iter().map(wire_run).collect(),
        }),
        Frame::Refused { id, kind } => Out::Refused(refused(*id, *kind, retry_delay)),
        Frame::State { id, state } => Out::Standing(wire::Standing {
            id: wire_id(*id),
            state: wire_state(*state).into(),
        }),
    })
}

fn refused(id: RequestId, kind: ErrorKind, retry_delay: Duration) -> wire::Refused {
    wire::Refused {
        id: wire_id(id),
        problem: kind.answer().problem.to_owned(),
        retry_ms: millis(retry_delay),
    }
}

fn wire_head(id: RequestId, head: &Head) -> wire::Head {
    let headers = head.headers.iter().map(|header| wire::Header {
        name: header.name.clone(),
        value: header.value.clone(),
    });
    wire::Head {
        id: wire_id(id),
        status: head.status.into(),
        headers: headers.collect(),
    }
}

fn wire_run(run: &VersionRun) -> wire::Run {
    wire::Run {
        version: run.version.clone(),
        first: run.first_token,
    }
}

#[expect(
    clippy::unnecessary_wraps,
    reason = "all fields of this type are optional in the frames"
)]
fn wire_id(id: RequestId) -> Option<wire::Id> {
    Some(wire::Id {
        origin: id.origin.0,
        seq: id.seq,
    })
}

const fn wire_state(state: AttemptState) -> State {
    match state {
        AttemptState::Sealed => State::Sealed,
        AttemptState::Running => State::Running,
        AttemptState::Done => State::Done,
        AttemptState::Lost => State::Lost,
    }
}

/// Converts a duration to whole milliseconds, saturating.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
