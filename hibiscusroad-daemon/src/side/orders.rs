//! Orders to the engine, and the lease rows whose fencing tokens admit them.

use crate::{
    logs::SIDE as LOG,
    side::{
        event::Event,
        request::{Order, WorkerKey},
        role::Role,
    },
};
use hibiscusroad::{
    ErrorKind,
    gate::{LinkKey, OrderRefusal},
};
use hibiscusroad_wire::{OrderDone, to_entry::Frame};
use std::{sync::Arc, thread, time::Instant};

impl Role {
    /// Starts an order, or refuses it if its fencing token is not admitted.
    pub(super) fn start_order(&mut self, now: Instant, link: LinkKey, order: Order) {
        let seq = order.seq;
        let admitted = self.gate.admit_order(link, &order.duty, order.fence);
        if admitted == Err(OrderRefusal::TokenUnknown) {
            self.read_lease(&order.duty);
        }
        let started = admitted
            .map_err(OrderRefusal::kind)
            .and_then(|()| self.pool.start_order(now, link, order));
        match started {
            Ok(()) => self.orders_in_flight += 1,
            Err(kind) => {
                log::info!(target: LOG, "An order is refused: {kind}.");
                self.send_order_done(now, link, seq, Err(kind));
            }
        }
    }

    /// Handles the end of an order.
    pub(super) fn finish_order(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        link: LinkKey,
        seq: u64,
        outcome: Result<(u16, Vec<u8>), ErrorKind>,
    ) {
        self.pool.set_idle(now, worker);
        self.orders_in_flight -= 1;
        self.send_order_done(now, link, seq, outcome);
    }

    fn send_order_done(
        &mut self,
        now: Instant,
        link: LinkKey,
        seq: u64,
        outcome: Result<(u16, Vec<u8>), ErrorKind>,
    ) {
        let problem = outcome.as_ref().err().map(|kind| kind.answer().problem);
        let (status, body) = outcome.unwrap_or_default();
        let done = OrderDone {
            seq,
            problem: problem.unwrap_or_default().to_owned(),
            status: status.into(),
            body,
            fence: self.gate.highest_token(),
        };
        self.queue_frame(now, link, Frame::OrderDone(done).into());
    }

    /// Reads a duty's lease row on a new thread, unless it is being read.
    fn read_lease(&mut self, duty: &str) {
        if !self.lease_reads.insert(duty.to_owned()) {
            return;
        }
        let (duty, read_lease) = (duty.to_owned(), Arc::clone(&self.setup.read_lease));
        let events = self.setup.events.clone();
        let name = duty.clone();
        let spawned = thread::Builder::new()
            .name("lease".to_owned())
            .spawn(move || {
                let token = read_lease(&duty);
                // Fails only if the actor has ended.
                drop(events.send(Event::Lease(duty, token)));
            });
        if spawned.is_err() {
            self.lease_reads.remove(&name);
        }
    }

    /// Records the fencing token that was read from a duty's lease row.
    pub(super) fn record_token(&mut self, duty: &str, token: Option<u64>) {
        self.lease_reads.remove(duty);
        match token {
            Some(token) => self.gate.record_token(duty, token),
            None => log::warn!(target: LOG, "The lease row of {duty} can't be read."),
        }
    }
}
