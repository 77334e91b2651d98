//! Admission, queues and placement for the services behind one entry.
//!
//! The entry feeds events into a [`Router`] and carries out the [`Step`]s that
//! come out. The router owns the entities in tables (services, endpoints,
//! calls) and never does input or output, so that the same code runs under
//! load in the daemon and in virtual time in the tests.
//!
//! # Design
//!
//! * Calls wait here and not at endpoints, because here they can be ordered by
//!   deadline, expire, move and be refused. So each endpoint gets only as many
//!   calls as it works on at once (`limit`), and a call that can't be answered
//!   in time is refused when it arrives (`admit`).
//! * One estimate carries both: what a call takes, learned for each class and
//!   size (`learn`). The wait is the work ahead over the slots that the class
//!   gets (`share`); the limit is the throughput times what a call takes
//!   without load (Little's law).
//! * An entry trusts what it sees itself: its own calls in flight and their
//!   latency. Reports of endpoints only add the load of other entries, and
//!   fade with age, so that late or absent reports cost speed at most.
//! * Work is done twice only out of one budget for each service (`retry`), and
//!   only if it is repeatable, or surely didn't run, and its caller has nothing
//!   of an answer yet (`attempt`).
//! * Nothing scans: timers are one ordered set, endpoints with room lie in
//!   pools, sums are kept up to date by each event. The price is that every
//!   change of an endpoint's row has to end in `refresh`.
//!
//! What this can't see: endpoints that other entries fill show only in late
//! reports, refusals of their sides and latency; several entries therefore
//! find their shares of an endpoint by each following its throughput.
//!
//! # Example
//!
//! ```
//! use hibiscusroad::{
//!     Class, Incarnation, Repeat, RequestId,
//!     route::{Call, EndpointSpec, Router, ServiceSpec, Step},
//! };
//! use std::time::{Duration, Instant};
//!
//! let now = Instant::now();
//! let mut router = Router::new("senec", 1);
//! let service = router.set_service(now, "hut-desk", ServiceSpec::new());
//! let endpoint = router.add_endpoint(now, service, EndpointSpec::new("hut-desk-1", "senec"));
//! let id = RequestId { origin: Incarnation(1), seq: 1 };
//! let call = Call::new(id, service, Class::Interactive, now + Duration::from_secs(1));
//! router.arrive(now, call);
//! assert_eq!(router.next_step(), Some(Step::Start { id, endpoint, hedge: false }));
//! ```

mod admit;
mod attempt;
mod drain;
mod endpoint;
mod health;
mod learn;
mod limit;
mod meter;
mod place;
mod queue;
mod retry;
mod ring;
mod router;
mod share;
pub mod shift;
mod spec;
mod table;
mod view;

pub use self::{
    router::Router,
    spec::{Call, EndpointSpec, LoadReport, Outcome, ServiceSpec, Step},
    view::{Standing, View},
};

slotmap::new_key_type! {
    /// Names a service in a [`Router`].
    pub struct ServiceKey;
    /// Names an endpoint in a [`Router`].
    pub struct EndpointKey;
}
