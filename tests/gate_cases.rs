//! Regression cases of the gate, and histories that random ones reach too rarely.

#[allow(dead_code, reason = "only gate_model uses the rest")]
mod gate_world;

use self::gate_world::{EntryFrame, MAX_CHUNK_BYTES, Op, World};
use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    gate::{
        Admission, AttemptState, Frame, Gate, GateLimits, LinkKey, OrderRefusal, StartRequest, Step,
    },
};
use std::time::{Duration, Instant};

const ENTRY: Incarnation = Incarnation(1);
const START: EntryFrame = EntryFrame::Start {
    once: false,
    timeout_ms: 1_000,
};

fn send(link: usize, seq: u64, frame: EntryFrame) -> Op {
    let origin = 0;
    Op::Send {
        link,
        origin,
        seq,
        frame,
    }
}

fn start_request(now: Instant, seq: u64, repeat: Repeat) -> StartRequest {
    let id = RequestId { origin: ENTRY, seq };
    let deadline = now + Duration::from_secs(9);
    StartRequest {
        id,
        deadline,
        repeat,
    }
}

/// Opens a link and delivers its first frame.
fn open_link(gate: &mut Gate, now: Instant, entry: Incarnation, epoch: u64) -> LinkKey {
    let link = gate.open_link(now, entry, epoch);
    assert!(gate.receive_frame(now, link));
    link
}

fn take_steps(gate: &mut Gate) -> Vec<Step> {
    std::iter::from_fn(|| gate.next_step()).collect()
}

/// A late copy of the Start of an attempt that ran must not be refused as "not
/// run" once the tombstone has expired.
#[test]
fn start_after_tombstone_expiry_is_outcome_unknown() {
    World::run(&[
        Op::Open { entry: 0 },
        send(0, 5, START),
        Op::Deliver { link: 0 },
        Op::Finish { call: 0 },
        send(
            0,
            5,
            EntryFrame::Ack {
                unacked: 0,
                done: true,
            },
        ),
        Op::Deliver { link: 0 },
        Op::Wait {
            duration_ms: 65_000,
            heartbeats: true,
        },
        send(0, 5, START),
        Op::Deliver { link: 0 },
    ]);
}

/// A copy of a Start must not report an answer as lost that its entry has
/// partly acknowledged.
#[test]
fn repeated_start_does_not_interrupt_answer() {
    World::run(&[
        Op::Open { entry: 0 },
        send(0, 0, START),
        send(
            0,
            0,
            EntryFrame::Ack {
                unacked: 0,
                done: false,
            },
        ),
        Op::Repeat { link: 0 },
        Op::Deliver { link: 0 },
        Op::Bytes {
            call: 0,
            chunks: 1,
            size: 0,
        },
        Op::Deliver { link: 0 },
        Op::Deliver { link: 0 },
        Op::Bytes {
            call: 0,
            chunks: 1,
            size: 0,
        },
    ]);
}

/// A sidecar that was suspended finds old frames in its sockets. The link must
/// be closed before a Start of that time is handled.
#[test]
fn start_received_before_a_pause_is_refused() {
    let mut now = Instant::now();
    let mut gate = Gate::new(GateLimits::new(4, 1 << 20));
    let link = open_link(&mut gate, now, ENTRY, 1);
    now += Duration::from_secs(20);
    assert!(!gate.receive_frame(now, link));
    assert_eq!(take_steps(&mut gate), [Step::Close { link, entry: ENTRY }]);
    let late = gate.start(now, link, start_request(now, 1, Repeat::Idempotent));
    assert_eq!(late, Admission::Refused(ErrorKind::EndpointDown));
}

/// An entry that opens a second link but never uses it must be able to start
/// attempts on the first.
#[test]
fn unused_link_does_not_supersede_older_link() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::LIMITS);
    let old = open_link(&mut gate, now, ENTRY, 1);
    let unused = gate.open_link(now, ENTRY, 2);
    gate.remove_link(now, unused);
    let call = start_request(now, 1, Repeat::Idempotent);
    assert_eq!(gate.start(now, old, call), Admission::Run);
}

/// Answers retained for replay must not pause an answer that a caller waits for;
/// the oldest is evicted and reported as lost.
#[test]
fn retained_answers_are_evicted_for_a_new_answer() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::LIMITS);
    let link = open_link(&mut gate, now, ENTRY, 1);
    for seq in 0..3 {
        retain_answer(&mut gate, now, link, seq);
    }
    let new = start_request(now, 9, Repeat::Idempotent);
    assert_eq!(gate.start(now, link, new), Admission::Run);
    take_steps(&mut gate);
    gate.receive_bytes(new.id, vec![0; 64].into());
    let sent = take_steps(&mut gate);
    assert!(matches!(*sent, [Step::Send { .. }]), "{sent:?}");
    assert_eq!(
        gate.seal(now, start_request(now, 0, Repeat::Once).id),
        AttemptState::Lost
    );
    assert_eq!(
        gate.seal(now, start_request(now, 2, Repeat::Once).id),
        AttemptState::Done
    );
}

fn retain_answer(gate: &mut Gate, now: Instant, link: LinkKey, seq: u64) {
    let now = now + Duration::from_millis(seq);
    let request = start_request(now, seq, Repeat::Once);
    assert_eq!(gate.start(now, link, request), Admission::Run);
    gate.receive_bytes(request.id, vec![0; 80].into());
    gate.finish(now, request.id, Vec::new());
    gate.ack(now, link, request.id, 80, true);
}

/// A request that may run only once, repeated through another entry, must be
/// answered with the retained answer.
#[test]
fn another_entry_reads_retained_answer() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::LIMITS);
    let link = open_link(&mut gate, now, ENTRY, 1);
    retain_answer(&mut gate, now, link, 1);
    gate.remove_link(now, link);
    let other = open_link(&mut gate, now, Incarnation(2), 1);
    let id = start_request(now, 1, Repeat::Once).id;
    assert_eq!(gate.seal(now, id), AttemptState::Done);
    take_steps(&mut gate);
    gate.attach(now, other, id, 0);
    let sent = take_steps(&mut gate);
    assert!(
        matches!(
            &*sent,
            [
                Step::Send { frame: Frame::Chunk { chunk, .. }, .. },
                Step::Send { frame: Frame::End { length: 80, .. }, .. },
            ] if chunk.data.len() == 80
        ),
        "{sent:?}"
    );
}

/// Orders with a lower fencing token than the lease row's must not reach the
/// engine.
#[test]
fn orders_of_superseded_holder_are_fenced() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::LIMITS);
    let old = open_link(&mut gate, now, ENTRY, 1);
    assert_eq!(
        gate.admit_order(old, "rollout", 7),
        Err(OrderRefusal::TokenUnknown)
    );
    gate.record_token("rollout", 8);
    assert_eq!(
        gate.admit_order(old, "rollout", 7),
        Err(OrderRefusal::Fenced(8))
    );
    assert_eq!(gate.admit_order(old, "rollout", 8), Ok(()));
    assert_eq!(gate.admit_order(old, "rollout", 9), Ok(()));
    assert_eq!(
        gate.admit_order(old, "rollout", 8),
        Err(OrderRefusal::Fenced(9))
    );
    assert_eq!(
        gate.admit_order(old, "other", 1),
        Err(OrderRefusal::TokenUnknown)
    );
    let new = gate.open_link(now, ENTRY, 2);
    assert_eq!(gate.admit_order(old, "rollout", 9), Ok(()));
    gate.receive_frame(now, new);
    assert_eq!(
        gate.admit_order(old, "rollout", 9),
        Err(OrderRefusal::SupersededLink)
    );
    assert_eq!(gate.admit_order(new, "rollout", 9), Ok(()));
    for refusal in [
        OrderRefusal::TokenUnknown,
        OrderRefusal::Fenced(1),
        OrderRefusal::SupersededLink,
    ] {
        assert!(refusal.kind().answer().not_run);
    }
}

/// An answer that is paused for a slow entry must not pause the answer of
/// another.
#[test]
fn slow_reader_pauses_only_its_own_answer() {
    let now = Instant::now();
    let mut gate = Gate::new(GateLimits::new(4, 1 << 20));
    let (slow, fast) = (
        open_link(&mut gate, now, ENTRY, 1),
        open_link(&mut gate, now, Incarnation(2), 1),
    );
    let first = start_request(now, 1, Repeat::Idempotent);
    let mut second = first;
    second.id.origin = Incarnation(2);
    assert_eq!(gate.start(now, slow, first), Admission::Run);
    assert_eq!(gate.start(now, fast, second), Admission::Run);
    for _ in 0..=(256 << 10) / MAX_CHUNK_BYTES {
        gate.receive_bytes(first.id, vec![0; 64].into());
        gate.receive_bytes(second.id, vec![0; 64].into());
        gate.ack(now, fast, second.id, u64::MAX, false);
    }
    let paused = take_steps(&mut gate);
    let paused = paused
        .iter()
        .filter(|step| matches!(step, Step::Pause { .. }));
    assert_eq!(paused.collect::<Vec<_>>(), [&Step::Pause { id: first.id }]);
}
