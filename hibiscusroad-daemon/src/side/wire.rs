//! The border between generated frames and the side's own types.

use crate::side::request::{Hello, Http, Inbound, Order, Request};
use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    gate::{AttemptState, Frame, Head, Header, StartRequest, VersionRun},
};
use hibiscusroad_wire::{
    self as wire, State, ToEntry, to_entry::Frame as Out, to_side::Frame as In,
};
use std::time::{Duration, Instant};

/// Why a frame can't be understood.
#[derive(Clone, Copy, Debug, thiserror::Error)]
pub enum Broken {
    /// The frame is of no known kind.
    #[error("the frame is of no known kind")]
    Empty,
    /// The frame names no attempt.
    #[error("the frame names no attempt")]
    NoId,
    /// The first frame is not Hello, or a later one is.
    #[error("Hello is sent first and once")]
    Order,
}

/// Reads the first frame of a link.
///
/// # Errors
///
/// Returns [`Broken`] if it isn't Hello.
pub fn hello(frame: Option<wire::ToSide>) -> Result<wire::Hello, Broken> {
    match frame.and_then(|frame| frame.frame) {
        Some(In::Hello(hello)) => Ok(hello),
        _ => Err(Broken::Order),
    }
}

/// Takes over what an entry says of itself.
#[must_use]
pub fn entry(hello: wire::Hello) -> Hello {
    Hello {
        entry: hello.entry,
        incarnation: Incarnation(hello.incarnation),
        epoch: hello.epoch,
        config: hello.config_version,
    }
}

/// Reads a frame that came at `now`.
///
/// # Errors
///
/// Returns [`Broken`] if it can't be understood.
pub fn inbound(now: Instant, frame: wire::ToSide) -> Result<Inbound, Broken> {
    Ok(match frame.frame.ok_or(Broken::Empty)? {
        In::Hello(_) => return Err(Broken::Order),
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

fn request(now: Instant, start: wire::Start) -> Result<Request, Broken> {
    let left = Duration::from_millis(start.remaining_ms.into());
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
        ask: StartRequest {
            id: id(start.id)?,
            deadline: now + left,
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

fn id(id: Option<wire::Id>) -> Result<RequestId, Broken> {
    let id = id.ok_or(Broken::NoId)?;
    Ok(RequestId {
        origin: Incarnation(id.origin),
        seq: id.seq,
    })
}

/// Writes a frame of the gate.
#[must_use]
pub fn outbound(frame: &Frame, retry: Duration) -> ToEntry {
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
        Frame::Refused { id, kind } => Out::Refused(refused(*id, *kind, retry)),
        Frame::State { id, state } => Out::Standing(wire::Standing {
            id: wire_id(*id),
            state: wire_state(*state).into(),
        }),
    })
}

fn refused(id: RequestId, kind: ErrorKind, retry: Duration) -> wire::Refused {
    wire::Refused {
        id: wire_id(id),
        problem: kind.answer().problem.to_owned(),
        retry_ms: millis(retry),
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

/// Whole milliseconds of a duration.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
