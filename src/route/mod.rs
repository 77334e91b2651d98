//! Admission, queueing and placement of calls for the services behind one entry.
//!
//! The entry feeds events into a [`Router`] and carries out the [`Step`]s that
//! it returns. The router keeps its state in tables of services, endpoints and
//! calls and does no I/O, so the same code runs in the daemon and in virtual
//! time in the tests.
//!
//! # Design
//!
//! * Calls queue in the entry rather than at endpoints, where they could not be
//!   reordered, expired or moved. Each endpoint has a concurrency limit
//!   (`limit`), and a call that can't be answered in time is refused on arrival
//!   (`admit`).
//! * Where callers compete, the calls of a class are fair among client accounts by work
//!   (`fair`); otherwise they wait by deadline alone (`queue`).
//! * Both decisions use service times learned per class and size (`service_times`). The
//!   expected wait is the work ahead divided by the slots that the class gets
//!   (`share`); the limit is the throughput times the service time without load
//!   (Little's law).
//! * Placement relies on the entry's own calls in flight and their latency.
//!   Load reports only add the load of other entries and lose weight with age,
//!   so a late or missing report makes placement worse but never wrong.
//! * Where endpoints report how slow their hosts are at the moment, placement and expected
//!   waits take it into account while the report is fresh (`slowness`).
//! * Endpoints are considered from near to far: those of the own data centre, of the own region,
//!   of other regions. A call that may not use all regions sees only endpoints of its regions,
//!   and waits only behind calls that compete for them (`regions`).
//! * Among endpoints that are about equally loaded, one with an open connection is
//!   preferred (`warm`). An entry with few calls would otherwise open a connection
//!   for nearly every call, the more so the more endpoints there are.
//! * Retries and hedges draw on one budget per service (`retry`). A call is run
//!   again only if it is repeatable or surely did not run, and only while its
//!   caller has no part of an answer (`attempt`).
//! * No event scans a table: timers are one ordered set, endpoints with free
//!   slots are kept in pools, and sums are updated incrementally. Every change
//!   of an endpoint's row must therefore end with a call of `refresh`.
//!
//! # Limitations
//!
//! Load from other entries is visible only in load reports, refusals and
//! latency. Entries that share an endpoint find their shares of it indirectly:
//! each one's limit follows the throughput that it gets there.
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
//! router.submit(now, call);
//! assert_eq!(router.next_step(), Some(Step::Start { id, endpoint, hedge: false }));
//! ```

mod accounts;
mod admit;
mod allowed;
mod attempt;
mod cold;
mod decay;
mod endpoint;
mod fair;
mod health;
mod limit;
mod placement;
mod queue;
mod rank;
pub mod reconcile;
mod regions;
mod retry;
mod retry_after;
mod ring;
mod router;
mod service_times;
mod share;
mod slowness;
mod spec;
mod table;
mod view;
mod warm;

pub use self::{
    accounts::AccountView,
    allowed::NearState,
    fair::AccountKey,
    rank::SlownessCounts,
    router::Router,
    spec::{Call, EndpointSpec, LoadReport, Outcome, ServiceSpec, Step},
    view::{EndpointView, HealthState},
};

slotmap::new_key_type! {
    /// The key of a service in a [`Router`].
    pub struct ServiceKey;
    /// The key of an endpoint in a [`Router`].
    pub struct EndpointKey;
}
