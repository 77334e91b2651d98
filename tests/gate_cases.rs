//! Single histories of the gate: those that random ones once failed on, and
//! those that random ones reach too seldom.

#[allow(dead_code, reason = "the random histories use the rest")]
mod gate_world;

use self::gate_world::{Op, PIECE, Sent, World};
use hibiscusroad::{
    ErrorKind, Incarnation, Repeat, RequestId,
    gate::{Admission, Ask, Frame, Gate, GateSpec, LinkKey, OrderRefusal, Standing, Step},
};
use std::time::{Duration, Instant};

const ENTRY: Incarnation = Incarnation(1);
const START: Sent = Sent::Start {
    once: false,
    patience: 1_000,
};

fn send(link: usize, seq: u64, sent: Sent) -> Op {
    let origin = 0;
    Op::Send {
        link,
        origin,
        seq,
        sent,
    }
}

fn ask(now: Instant, seq: u64, repeat: Repeat) -> Ask {
    let id = RequestId { origin: ENTRY, seq };
    let deadline = now + Duration::from_secs(9);
    Ask {
        id,
        deadline,
        repeat,
    }
}

/// Opens a link whose entry was welcomed.
fn open(gate: &mut Gate, now: Instant, entry: Incarnation, epoch: u64) -> LinkKey {
    let link = gate.open(now, entry, epoch);
    assert!(gate.heard(now, link));
    link
}

fn steps(gate: &mut Gate) -> Vec<Step> {
    std::iter::from_fn(|| gate.next_step()).collect()
}

/// An attempt ran, ended and was forgotten. A very late copy of its Start was
/// refused as "not run", which was untrue. Found by the random histories.
#[test]
fn a_start_of_a_forgotten_attempt_is_unknown() {
    World::run(&[
        Op::Open { entry: 0 },
        send(0, 5, START),
        Op::Deliver { link: 0 },
        Op::Finish { call: 0 },
        send(
            0,
            5,
            Sent::Ack {
                behind: 0,
                done: true,
            },
        ),
        Op::Deliver { link: 0 },
        Op::Wait {
            millis: 65_000,
            beats: true,
        },
        send(0, 5, START),
        Op::Deliver { link: 0 },
    ]);
}

/// The entry had acknowledged part of an answer when a copy of its Start came.
/// It was answered as lost, though the answer went on. Found by the random
/// histories.
#[test]
fn a_repeated_start_disturbs_no_answer() {
    World::run(&[
        Op::Open { entry: 0 },
        send(0, 0, START),
        send(
            0,
            0,
            Sent::Ack {
                behind: 0,
                done: false,
            },
        ),
        Op::Repeat { link: 0 },
        Op::Deliver { link: 0 },
        Op::Bytes {
            call: 0,
            pieces: 1,
            size: 0,
        },
        Op::Deliver { link: 0 },
        Op::Deliver { link: 0 },
        Op::Bytes {
            call: 0,
            pieces: 1,
            size: 0,
        },
    ]);
}

/// The side is stopped by a signal for long. The entry gave its link up and had
/// the attempt sealed by nobody. When the side goes on, the Start still waits
/// in its socket: the silence it sees must close the link first.
#[test]
fn a_start_that_waited_out_a_pause_never_runs() {
    let mut now = Instant::now();
    let mut gate = Gate::new(GateSpec::new(4, 1 << 20));
    let link = open(&mut gate, now, ENTRY, 1);
    now += Duration::from_secs(20);
    assert!(!gate.heard(now, link));
    assert_eq!(steps(&mut gate), [Step::Close { link, entry: ENTRY }]);
    let late = gate.start(now, link, ask(now, 1, Repeat::Free));
    assert_eq!(late, Admission::Refused(ErrorKind::EndpointDown));
}

/// The entry suspects its link and opens another, but gives up waiting for the
/// welcome and goes on with the old one. Its calls must not be refused.
#[test]
fn a_link_that_was_never_used_replaces_none() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::SPEC);
    let old = open(&mut gate, now, ENTRY, 1);
    let unused = gate.open(now, ENTRY, 2);
    gate.lost(now, unused);
    let call = ask(now, 1, Repeat::Free);
    assert_eq!(gate.start(now, old, call), Admission::Run);
}

/// Answers kept for replay fill the buffer. A new answer, which a caller waits
/// for, must flow on at once; the oldest kept one gives way and is then lost.
#[test]
fn kept_answers_give_way_to_those_that_callers_wait_for() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::SPEC);
    let link = open(&mut gate, now, ENTRY, 1);
    for seq in 0..3 {
        keep_answer(&mut gate, now, link, seq);
    }
    let new = ask(now, 9, Repeat::Free);
    assert_eq!(gate.start(now, link, new), Admission::Run);
    steps(&mut gate);
    gate.bytes(new.id, vec![0; 64].into());
    let sent = steps(&mut gate);
    assert!(matches!(*sent, [Step::Send { .. }]), "{sent:?}");
    assert_eq!(gate.seal(now, ask(now, 0, Repeat::Once).id), Standing::Lost);
    assert_eq!(gate.seal(now, ask(now, 2, Repeat::Once).id), Standing::Done);
}

fn keep_answer(gate: &mut Gate, now: Instant, link: LinkKey, seq: u64) {
    let now = now + Duration::from_millis(seq);
    let ask = ask(now, seq, Repeat::Once);
    assert_eq!(gate.start(now, link, ask), Admission::Run);
    gate.bytes(ask.id, vec![0; 80].into());
    gate.finish(now, ask.id, Vec::new());
    gate.ack(now, link, ask.id, 80, true);
}

/// A caller repeats a reservation through another entry, which finds the claim
/// and asks the side. The kept answer is replayed; nothing runs again.
#[test]
fn another_entry_gets_the_kept_answer() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::SPEC);
    let link = open(&mut gate, now, ENTRY, 1);
    keep_answer(&mut gate, now, link, 1);
    gate.lost(now, link);
    let other = open(&mut gate, now, Incarnation(2), 1);
    let id = ask(now, 1, Repeat::Once).id;
    assert_eq!(gate.seal(now, id), Standing::Done);
    steps(&mut gate);
    gate.attach(now, other, id, 0);
    let sent = steps(&mut gate);
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

/// A holder that was paused past its lease orders an old version. The next
/// holder's number is known from the lease row, so the engine never sees it.
#[test]
fn orders_of_an_old_holder_are_fenced() {
    let now = Instant::now();
    let mut gate = Gate::new(gate_world::SPEC);
    let old = open(&mut gate, now, ENTRY, 1);
    assert_eq!(gate.order(old, "rollout", 7), Err(OrderRefusal::Unlearned));
    gate.learn("rollout", 8);
    assert_eq!(gate.order(old, "rollout", 7), Err(OrderRefusal::Fenced(8)));
    assert_eq!(gate.order(old, "rollout", 8), Ok(()));
    assert_eq!(gate.order(old, "rollout", 9), Ok(()));
    assert_eq!(gate.order(old, "rollout", 8), Err(OrderRefusal::Fenced(9)));
    assert_eq!(gate.order(old, "other", 1), Err(OrderRefusal::Unlearned));
    let new = gate.open(now, ENTRY, 2);
    assert_eq!(gate.order(old, "rollout", 9), Ok(()));
    gate.heard(now, new);
    assert_eq!(gate.order(old, "rollout", 9), Err(OrderRefusal::OldLink));
    assert_eq!(gate.order(new, "rollout", 9), Ok(()));
    for refusal in [
        OrderRefusal::Unlearned,
        OrderRefusal::Fenced(1),
        OrderRefusal::OldLink,
    ] {
        assert!(refusal.kind().answer().not_run);
    }
}

/// A reading that is held back for one slow entry must not hold its piece back
/// for an entry that reads on.
#[test]
fn one_slow_reader_pauses_its_answer_only() {
    let now = Instant::now();
    let mut gate = Gate::new(GateSpec::new(4, 1 << 20));
    let (slow, fast) = (
        open(&mut gate, now, ENTRY, 1),
        open(&mut gate, now, Incarnation(2), 1),
    );
    let first = ask(now, 1, Repeat::Free);
    let mut second = first;
    second.id.origin = Incarnation(2);
    assert_eq!(gate.start(now, slow, first), Admission::Run);
    assert_eq!(gate.start(now, fast, second), Admission::Run);
    for _ in 0..=(256 << 10) / PIECE {
        gate.bytes(first.id, vec![0; 64].into());
        gate.bytes(second.id, vec![0; 64].into());
        gate.ack(now, fast, second.id, u64::MAX, false);
    }
    let paused = steps(&mut gate);
    let paused = paused
        .iter()
        .filter(|step| matches!(step, Step::Pause { .. }));
    assert_eq!(paused.collect::<Vec<_>>(), [&Step::Pause { id: first.id }]);
}
