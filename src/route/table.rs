//! The rows of the router's tables.

use crate::{
    class::{Class, Repeat},
    error::ErrorKind,
    route::{
        EndpointKey, ServiceKey,
        admit::BASE_WAIT_MARGIN,
        drain::ReturnSchedule,
        health::{Health, Peers},
        learn::ServiceTimes,
        limit::ConcurrencyLimit,
        meter::DecayingSum,
        queue::{Queue, QueueKey},
        retry::RetryBudget,
        ring::Ring,
        spec::{Call, EndpointSpec, LoadReport, ServiceSpec},
    },
};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

slotmap::new_key_type! {
    /// Names a call in the router's table.
    pub(super) struct CallKey;
}

/// Near endpoints of the entry's subset, other near ones, those elsewhere.
pub(super) const TIERS: usize = 3;
/// The tier of endpoints at other places.
pub(super) const REMOTE_TIER: usize = 2;
/// Time constant of what counts as recent use: a few service times of an
/// interactive call, so that lent slots are wanted back soon after a burst.
const PEAK_DECAY: Duration = Duration::from_secs(5);
/// Time constant of the work that balances prefixes: of 24 calls a second to
/// one engine the sum then strays by 5 per cent, half of the bound's margin.
const WORK_DECAY: Duration = Duration::from_secs(20);

/// What the timers are set for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    Call(CallKey),
    Endpoint(EndpointKey),
    Service(ServiceKey),
}

#[derive(Debug)]
pub(super) struct ServiceRow {
    pub(super) spec: ServiceSpec,
    pub(super) endpoints: Vec<EndpointKey>,
    /// Endpoints with room, by tier.
    pub(super) pools: [Vec<EndpointKey>; TIERS],
    pub(super) ring: Ring,
    pub(super) queues: [Queue; 3],
    /// Attempts that run, by class.
    pub(super) running: [u32; 3],
    /// Sum of the limits of the endpoints that take work.
    pub(super) capacity: u32,
    /// Sum of what is free below these limits.
    pub(super) free_slots: u32,
    /// Endpoints that take work, and those of them at the entry's place.
    pub(super) usable: u32,
    pub(super) usable_local: u32,
    /// Endpoints that are ejected.
    pub(super) ejected: u32,
    /// Ejected endpoints that wait for a call to be tried with.
    pub(super) awaiting_trial: Vec<EndpointKey>,
    pub(super) peers: Peers,
    pub(super) service_times: ServiceTimes,
    /// What calls take now, over what they took on average: at the start of a
    /// burst endpoints fill up long before the averages show it.
    pub(super) slowdown: f64,
    /// How much longer than estimated a wait may become.
    pub(super) wait_margin: f64,
    pub(super) budget: RetryBudget,
    pub(super) return_schedules: [ReturnSchedule; 3],
    /// Work placed lately, over all endpoints.
    pub(super) recent_work: DecayingSum,
    /// Peak of attempts by class, lately.
    pub(super) recent_peaks: [DecayingSum; 3],
    /// Repeatable attempts of lower classes, to take their slots back.
    pub(super) preemptible: BTreeSet<(Instant, CallKey)>,
    pub(super) timer_at: Option<Instant>,
}

impl ServiceRow {
    pub(super) fn new(spec: ServiceSpec) -> Self {
        Self {
            spec,
            endpoints: Vec::new(),
            pools: Default::default(),
            ring: Ring::default(),
            queues: Default::default(),
            running: [0; 3],
            capacity: 0,
            free_slots: 0,
            usable: 0,
            usable_local: 0,
            ejected: 0,
            awaiting_trial: Vec::new(),
            peers: Peers::default(),
            service_times: ServiceTimes::new(),
            slowdown: 1.0,
            wait_margin: BASE_WAIT_MARGIN,
            budget: RetryBudget::new(),
            return_schedules: [ReturnSchedule::default(); 3],
            recent_work: DecayingSum::new(WORK_DECAY),
            recent_peaks: [DecayingSum::new(PEAK_DECAY); 3],
            preemptible: BTreeSet::new(),
            timer_at: None,
        }
    }

    pub(super) fn queue(&self, class: Class) -> &Queue {
        &self.queues[class.index()]
    }

    pub(super) fn queues_empty(&self) -> bool {
        self.queues.iter().all(Queue::is_empty)
    }
}

/// A report and what was known of the endpoint when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedReport {
    pub(super) report: LoadReport,
    /// When it was true.
    pub(super) valid_at: Instant,
    /// Attempts of this entry that ran then.
    pub(super) own_running: u32,
    /// Tokens sent there since.
    pub(super) tokens_sent: u64,
}

#[derive(Debug)]
pub(super) struct EndpointRow {
    pub(super) spec: EndpointSpec,
    pub(super) service: ServiceKey,
    pub(super) accepting: bool,
    pub(super) running: u32,
    /// Tokens of the attempts that run.
    pub(super) tokens: u64,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: Health,
    pub(super) tier: usize,
    /// Position in its pool, while it has room.
    pub(super) pool_index: Option<usize>,
    /// What of it is counted in the service's sums.
    pub(super) counted: Counted,
    pub(super) last_report: Option<ReceivedReport>,
    /// Work placed there lately.
    pub(super) recent_work: DecayingSum,
    /// Attempts by their start, to find the oldest.
    pub(super) attempts: BTreeSet<(Instant, CallKey)>,
    pub(super) timer_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counted {
    pub(super) capacity: u32,
    pub(super) free_slots: u32,
}

impl EndpointRow {
    pub(super) fn new(service: ServiceKey, spec: EndpointSpec) -> Self {
        Self {
            limit: ConcurrencyLimit::new(spec.limit),
            spec,
            service,
            accepting: true,
            running: 0,
            tokens: 0,
            health: Health::new(),
            tier: 0,
            pool_index: None,
            counted: Counted::default(),
            last_report: None,
            recent_work: DecayingSum::new(WORK_DECAY),
            attempts: BTreeSet::new(),
            timer_at: None,
        }
    }

    pub(super) fn is_usable(&self) -> bool {
        self.accepting && self.health.is_healthy()
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointKey,
    pub(super) start: Instant,
    pub(super) trial: bool,
    /// Whether it met few others there.
    pub(super) low_load: bool,
}

#[derive(Debug)]
pub(super) struct CallRow {
    pub(super) call: Call,
    /// Expected seconds at an endpoint.
    pub(super) work: f64,
    pub(super) seq: u64,
    /// Attempts started.
    pub(super) attempts_started: u8,
    /// Times that its slot was taken back.
    pub(super) preemptions: u8,
    pub(super) queued: bool,
    /// Whether its caller has part of an answer.
    pub(super) committed: bool,
    /// What to tell if it may have run.
    pub(super) run_error: Option<ErrorKind>,
    /// Where the last attempt ran.
    pub(super) last_endpoint: Option<EndpointKey>,
    /// The attempt and its hedge.
    pub(super) attempts: [Option<Attempt>; 2],
    /// When its timer is set.
    pub(super) timer_at: Option<Instant>,
    /// When it can't be answered any more, while it waits.
    pub(super) latest_start: Instant,
}

impl CallRow {
    pub(super) fn new(call: Call, work: f64, seq: u64) -> Self {
        Self {
            call,
            work,
            seq,
            attempts_started: 0,
            preemptions: 0,
            queued: false,
            committed: false,
            run_error: None,
            last_endpoint: None,
            attempts: [None; 2],
            timer_at: None,
            latest_start: call.deadline,
        }
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.call.repeat == Repeat::Free
    }

    /// Says whether another attempt could still answer it.
    pub(super) fn can_rerun(&self) -> bool {
        self.is_repeatable() && !self.committed
    }

    pub(super) fn queue_key(&self) -> QueueKey {
        QueueKey {
            deadline: self.call.deadline,
            seq: self.seq,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    pub(super) fn runs_at(&self, endpoint: EndpointKey) -> bool {
        let mut attempts = self.attempts.iter().flatten();
        attempts.any(|attempt| attempt.endpoint == endpoint)
    }
}
