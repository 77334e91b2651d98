//! The rows of the router's tables.

use crate::{
    class::{Class, Repeat},
    cold_start::Admission,
    error::ErrorKind,
    route::{
        EndpointKey, ServiceKey,
        decay::DecayingSum,
        fair::{AccountKey, FairQueue},
        health::{Health, Peers},
        limit::ConcurrencyLimit,
        queue::QueueKey,
        regions::{RegionRow, RestrictedCalls},
        retry::RetryBudget,
        retry_after::ReturnSchedule,
        ring::Ring,
        service_times::ServiceTimes,
        slowness::HostSlowness,
        spec::{Call, EndpointSpec, LoadReport, ServiceSpec},
        warm::WarmEndpoints,
    },
    topology::{Region, Topology},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

pub(super) use crate::route::queue::CallKey;

/// Interval at which queued calls are placed again, because reserved slots become
/// free without an event.
pub(super) const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Initial and lowest factor on the estimated wait, which is only an average: slots become free
/// in bunches. It keeps late answers below one in a thousand if no other entry uses the
/// endpoints.
pub(super) const BASE_WAIT_MARGIN: f64 = 1.35;
/// The tier of endpoints in other data centres of the entry's region. Those before it are the
/// entry's subset of its data centre and the rest of that data centre.
pub(super) const REMOTE_TIER: usize = 2;
/// The tier of endpoints in other regions.
pub(super) const FAR_TIER: usize = 3;
/// The tier of cold endpoints in the entry's region, which get what no other endpoint has room for.
pub(super) const COLD_TIER: usize = 4;
/// The tier of cold endpoints in other regions.
pub(super) const FAR_COLD_TIER: usize = 5;
/// Time constant of the peaks from which reserved slots are computed: a few service times of an
/// interactive call, so that lent slots are reserved again soon after a burst.
const PEAK_DECAY: Duration = Duration::from_secs(5);
/// Time constant of the recent work by which prefixes are balanced. At 24 calls a second to an
/// engine the sum varies by 5 %, half of the margin of the ring's bound.
const WORK_DECAY: Duration = Duration::from_secs(20);

/// Time constant of the work of each priority: long enough to average over arrivals, short enough
/// that a lower priority gets back what is left soon after a higher one pauses.
const PRIORITY_DECAY: Duration = Duration::from_millis(500);
/// Lower bound of the share that is assumed to be left to a priority. With a tenth, calls that fit
/// into the next pause of the higher ones are refused, and up to 3 % fewer are answered.
const MIN_PRIORITY_SHARE: f64 = 0.5;

/// What a timer is set for.
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
    /// Endpoints with free slots: those of the first tiers, then those of other data centres by
    /// region, then the cold ones by region.
    pub(super) pools: Vec<Vec<EndpointKey>>,
    /// Sums by region, that of unknown regions last.
    pub(super) regions: Vec<RegionRow>,
    /// Queued calls that may not use all regions, by class.
    pub(super) restricted: [RestrictedCalls; 3],
    pub(super) ring: Ring,
    pub(super) warm: WarmEndpoints,
    pub(super) queues: [FairQueue; 3],
    /// Running attempts, by class.
    pub(super) running: [u32; 3],
    /// Running attempts, by account.
    account_running: HashMap<u64, u32>,
    /// Sum of the limits of usable endpoints.
    pub(super) capacity: u32,
    /// Sum of the free slots of usable endpoints.
    pub(super) free_slots: u32,
    /// Endpoints that accept calls and have a limit above 0.
    pub(super) usable: u32,
    /// Endpoints that would be usable, but admit no call now because they are or were cold.
    pub(super) held: u32,
    /// Number of ejected endpoints, including those on trial.
    pub(super) ejected: u32,
    /// Ejected endpoints that wait for a trial call.
    pub(super) awaiting_trial: Vec<EndpointKey>,
    /// Whether an endpoint has reported how slow its host is.
    pub(super) shares_hosts: bool,
    pub(super) slowness: HostSlowness,
    pub(super) peers: Peers,
    pub(super) service_times: ServiceTimes,
    /// Current service time relative to the estimate; it rises at the start of a
    /// burst, well before the estimate does.
    pub(super) slowdown: f64,
    /// Safety factor on the estimated wait.
    pub(super) wait_margin: f64,
    pub(super) budget: RetryBudget,
    pub(super) return_schedules: [ReturnSchedule; 3],
    /// Recently placed work of all endpoints.
    pub(super) recent_work: DecayingSum,
    /// Recently started work of accounts, by class and priority.
    priority_work: [BTreeMap<u8, DecayingSum>; 3],
    /// Decayed peaks of running attempts, by class.
    pub(super) recent_peaks: [DecayingSum; 3],
    /// Running calls that may be preempted, by start.
    pub(super) preemptible: BTreeSet<(Instant, CallKey)>,
    pub(super) timer_at: Option<Instant>,
}

impl ServiceRow {
    pub(super) fn new(spec: ServiceSpec, topology: &Topology) -> Self {
        let regions = RegionRow::all(topology, WORK_DECAY);
        Self {
            spec,
            endpoints: Vec::new(),
            pools: vec![Vec::new(); REMOTE_TIER + 2 * regions.len()],
            regions,
            restricted: Default::default(),
            ring: Ring::default(),
            warm: WarmEndpoints::default(),
            queues: Default::default(),
            running: [0; 3],
            account_running: HashMap::new(),
            capacity: 0,
            free_slots: 0,
            usable: 0,
            held: 0,
            ejected: 0,
            awaiting_trial: Vec::new(),
            shares_hosts: false,
            slowness: HostSlowness::new(),
            peers: Peers::default(),
            service_times: ServiceTimes::new(),
            slowdown: 1.0,
            wait_margin: BASE_WAIT_MARGIN,
            budget: RetryBudget::new(),
            return_schedules: [ReturnSchedule::default(); 3],
            recent_work: DecayingSum::new(WORK_DECAY),
            priority_work: Default::default(),
            recent_peaks: [DecayingSum::new(PEAK_DECAY); 3],
            preemptible: BTreeSet::new(),
            timer_at: None,
        }
    }

    pub(super) fn queue(&self, class: Class) -> &FairQueue {
        &self.queues[class.index()]
    }

    /// Returns the number of running attempts of an account.
    pub(super) fn running_of(&self, account: u64) -> u32 {
        self.account_running.get(&account).copied().unwrap_or(0)
    }

    /// Records work in seconds that is started for an account.
    pub(super) fn add_priority_work(
        &mut self,
        now: Instant,
        class: Class,
        account: AccountKey,
        work: f64,
    ) {
        if account != AccountKey::default() {
            let sums = &mut self.priority_work[class.index()];
            let sum = sums.entry(account.priority);
            sum.or_insert_with(|| DecayingSum::new(PRIORITY_DECAY))
                .add(now, work);
        }
    }

    /// Estimates the share of a class's slots that higher priorities leave to an account.
    pub(super) fn priority_share(&self, now: Instant, class: Class, account: AccountKey) -> f64 {
        let higher = self.priority_work[class.index()].range(..account.priority);
        let work: f64 = higher.map(|(_, sum)| sum.value(now)).sum();
        let slots = work / PRIORITY_DECAY.as_secs_f64();
        (1.0 - slots / f64::from(self.capacity.max(1))).max(MIN_PRIORITY_SHARE)
    }

    pub(super) fn add_running(&mut self, account: u64) {
        *self.account_running.entry(account).or_default() += 1;
    }

    pub(super) fn remove_running(&mut self, account: u64) {
        if let Some(running) = self.account_running.get_mut(&account) {
            *running -= 1;
            if *running == 0 {
                self.account_running.remove(&account);
            }
        }
    }

    pub(super) fn queues_empty(&self) -> bool {
        self.queues.iter().all(FairQueue::is_empty)
    }
}

/// A load report and the entry's own load when it arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedReport {
    pub(super) report: LoadReport,
    /// When the report was taken.
    pub(super) valid_at: Instant,
    /// Attempts of this entry that ran when the report arrived.
    pub(super) own_running: u32,
    /// Tokens of the calls sent there since.
    pub(super) tokens_sent: u64,
}

#[derive(Debug)]
pub(super) struct EndpointRow {
    pub(super) spec: EndpointSpec,
    pub(super) service: ServiceKey,
    pub(super) accepting: bool,
    /// Whether its data centre is evacuated.
    pub(super) evacuated: bool,
    pub(super) admission: Admission,
    pub(super) running: u32,
    /// Tokens of the running attempts.
    pub(super) tokens: u64,
    pub(super) limit: ConcurrencyLimit,
    pub(super) health: Health,
    pub(super) tier: usize,
    pub(super) region: Region,
    /// Position in its pool, while it has free slots.
    pub(super) pool_index: Option<usize>,
    /// Its part in the service's sums.
    pub(super) counted: Counted,
    pub(super) last_report: Option<ReceivedReport>,
    /// Recently placed work.
    pub(super) recent_work: DecayingSum,
    /// Running attempts by start.
    pub(super) attempts: BTreeSet<(Instant, CallKey)>,
    pub(super) timer_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counted {
    pub(super) capacity: u32,
    pub(super) free_slots: u32,
    pub(super) is_held: bool,
}

impl EndpointRow {
    /// Returns the index of the pool that holds it, with the position of its region and the
    /// number of regions.
    pub(super) const fn pool(&self, position: usize, regions: usize) -> usize {
        if self.admission.is_cold {
            REMOTE_TIER + regions + position
        } else if self.tier < REMOTE_TIER {
            self.tier
        } else {
            REMOTE_TIER + position
        }
    }

    pub(super) fn new(service: ServiceKey, spec: EndpointSpec, region: Region) -> Self {
        Self {
            limit: ConcurrencyLimit::new(spec.limit),
            accepting: spec.accepting,
            admission: spec.admission,
            spec,
            service,
            evacuated: false,
            running: 0,
            tokens: 0,
            health: Health::new(),
            tier: 0,
            region,
            pool_index: None,
            counted: Counted::default(),
            last_report: None,
            recent_work: DecayingSum::new(WORK_DECAY),
            attempts: BTreeSet::new(),
            timer_at: None,
        }
    }

    pub(super) fn is_usable(&self) -> bool {
        self.accepting && self.health.is_healthy() && !self.is_held()
    }

    /// Returns whether it admits no call now because it is or was cold.
    pub(super) fn is_held(&self) -> bool {
        self.admission.calls == Some(0)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointKey,
    pub(super) start: Instant,
    pub(super) trial: bool,
    /// Whether the endpoint was at low load when it started.
    pub(super) low_load: bool,
    /// Current slowness of the endpoint's host at the start.
    pub(super) slowness: f64,
}

#[derive(Debug)]
pub(super) struct CallRow {
    pub(super) call: Call,
    /// Expected service time in seconds.
    pub(super) work: f64,
    pub(super) seq: u64,
    /// Number of attempts so far.
    pub(super) attempts_started: u8,
    /// Number of times that it was preempted.
    pub(super) preemptions: u8,
    pub(super) queued: bool,
    /// The account that it waits for.
    pub(super) queue_account: AccountKey,
    /// Whether its caller has received part of an answer.
    pub(super) committed: bool,
    /// Error to report if an attempt may have run.
    pub(super) run_error: Option<ErrorKind>,
    /// Endpoint of the last attempt.
    pub(super) last_endpoint: Option<EndpointKey>,
    /// Running attempts: at most one and its hedge.
    pub(super) attempts: [Option<Attempt>; 2],
    /// When its timer is due.
    pub(super) timer_at: Option<Instant>,
    /// Latest start that still meets the deadline, while queued.
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
            queue_account: AccountKey::default(),
            committed: false,
            run_error: None,
            last_endpoint: None,
            attempts: [None; 2],
            timer_at: None,
            latest_start: call.deadline,
        }
    }

    pub(super) fn is_repeatable(&self) -> bool {
        self.call.repeat == Repeat::Idempotent
    }

    /// Returns whether another attempt may still answer it.
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
