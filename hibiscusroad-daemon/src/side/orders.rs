//! Orders to the engine, and the lease rows that decide which may pass.

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
    pub(super) fn order(&mut self, now: Instant, link: LinkKey, order: Order) {
        let seq = order.seq;
        let passed = self.gate.admit_order(link, &order.duty, order.fence);
        if passed == Err(OrderRefusal::TokenUnknown) {
            self.read_lease(&order.duty);
        }
        let sent = passed
            .map_err(OrderRefusal::kind)
            .and_then(|()| self.pool.order(now, link, order));
        match sent {
            Ok(()) => self.orders += 1,
            Err(kind) => {
                log::info!(target: LOG, "An order is refused: {kind}.");
                self.order_done(now, link, seq, Err(kind));
            }
        }
    }

    pub(super) fn ordered(
        &mut self,
        now: Instant,
        worker: WorkerKey,
        link: LinkKey,
        seq: u64,
        outcome: Result<(u16, Vec<u8>), ErrorKind>,
    ) {
        self.pool.free(now, worker);
        self.orders -= 1;
        self.order_done(now, link, seq, outcome);
    }

    fn order_done(
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
        self.push(now, link, Frame::OrderDone(done).into());
    }

    fn read_lease(&mut self, duty: &str) {
        if !self.learning.insert(duty.to_owned()) {
            return;
        }
        let (duty, lease) = (duty.to_owned(), Arc::clone(&self.setup.lease));
        let events = self.setup.events.clone();
        let name = duty.clone();
        let spawned = thread::Builder::new()
            .name("lease".to_owned())
            .spawn(move || {
                let number = lease(&duty);
                // An actor that has ended needs no word.
                drop(events.send(Event::Lease(duty, number)));
            });
        if spawned.is_err() {
            self.learning.remove(&name);
        }
    }

    pub(super) fn learn(&mut self, duty: &str, number: Option<u64>) {
        self.learning.remove(duty);
        match number {
            Some(number) => self.gate.record_token(duty, number),
            None => log::warn!(target: LOG, "The lease row of {duty} can't be read."),
        }
    }
}
