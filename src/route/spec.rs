//! Input and output types of the router.

use crate::{
    class::{Class, Repeat},
    cold_start::Admission,
    error::ErrorKind,
    id::RequestId,
    route::{EndpointKey, ServiceKey, fair::AccountKey, retry::DEFAULT_MAX_ATTEMPTS},
    topology::RegionSet,
};
use std::time::{Duration, Instant};

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Maximum queued requests of each class.
    pub max_queued: usize,
    /// Guaranteed share of the service's slots for each class, in [0, 1], by
    /// [`Class::index`]. The shares add up to at most 1.
    pub min_shares: [f64; 3],
}

impl ServiceSpec {
    /// Creates the default settings: 256 queued requests per class, and floors of
    /// 50, 20 and 5 per cent.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_queued: 256,
            min_shares: [0.5, 0.2, 0.05],
        }
    }

    /// Sets the maximum of queued requests of each class.
    #[must_use]
    pub const fn max_queued(mut self, max_queued: usize) -> Self {
        self.max_queued = max_queued;
        self
    }

    /// Sets the guaranteed shares of the classes.
    #[must_use]
    pub const fn min_shares(mut self, min_shares: [f64; 3]) -> Self {
        self.min_shares = min_shares;
        self
    }
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self::new()
    }
}

/// Description of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSpec {
    /// Its name, unique in the service.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Maximum requests that its sidecar accepts at once.
    pub limit: u32,
    /// Capacity of its cache memory in tokens; 0 for a plain endpoint, which is
    /// limited only by the number of requests.
    pub cache_tokens: u64,
    /// Whether it accepts calls when it is added.
    pub accepting: bool,
    /// What it admits at first, if it may be cold.
    pub admission: Admission,
}

impl EndpointSpec {
    /// Creates a description with a limit of 64 requests at once.
    #[must_use]
    pub fn new(name: &str, data_centre: &str) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            limit: 64,
            cache_tokens: 0,
            accepting: true,
            admission: Admission::OPEN,
        }
    }

    /// Sets what it admits at first.
    #[must_use]
    pub const fn admission(mut self, admission: Admission) -> Self {
        self.admission = admission;
        self
    }

    /// Sets the capacity of its cache memory in tokens.
    #[must_use]
    pub const fn cache_tokens(mut self, cache_tokens: u64) -> Self {
        self.cache_tokens = cache_tokens;
        self
    }

    /// Sets whether it accepts calls when it is added.
    #[must_use]
    pub const fn accepting(mut self, accepting: bool) -> Self {
        self.accepting = accepting;
        self
    }

    /// Sets the maximum of requests that its sidecar accepts at once.
    #[must_use]
    pub const fn limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }
}

/// One request as the router sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// The id of its first attempt; the entry assigns those of later attempts.
    pub id: RequestId,
    /// The service that it calls.
    pub service: ServiceKey,
    /// The class of its caller.
    pub class: Class,
    /// When the caller stops waiting for an answer.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Tokens of prompt and output; 0 for a plain call.
    pub tokens: u32,
    /// Hash of the prompt's prefix, used to find an engine that has it cached.
    pub prefix: Option<u64>,
    /// Maximum attempts, hedges included.
    pub max_attempts: u8,
    /// Whether it is never hedged.
    pub no_hedge: bool,
    /// Its account; calls without one count as one account.
    pub account: Option<AccountKey>,
    /// The regions of the endpoints that may get it.
    pub regions: RegionSet,
}

impl Call {
    /// Creates a repeatable plain call.
    #[must_use]
    pub const fn new(id: RequestId, service: ServiceKey, class: Class, deadline: Instant) -> Self {
        Self {
            id,
            service,
            class,
            deadline,
            repeat: Repeat::Idempotent,
            tokens: 0,
            prefix: None,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            no_hedge: false,
            account: None,
            regions: RegionSet::ALL,
        }
    }

    /// Sets whether it is never hedged, for example because it may have crashed an
    /// endpoint.
    #[must_use]
    pub const fn no_hedge(mut self, no_hedge: bool) -> Self {
        self.no_hedge = no_hedge;
        self
    }

    /// Sets its account, which takes effect where callers compete.
    #[must_use]
    pub const fn account(mut self, account: AccountKey) -> Self {
        self.account = Some(account);
        self
    }

    /// Sets the regions of the endpoints that may get it.
    #[must_use]
    pub const fn regions(mut self, regions: RegionSet) -> Self {
        self.regions = regions;
        self
    }

    /// Sets the maximum of attempts, hedges included.
    #[must_use]
    pub const fn max_attempts(mut self, max_attempts: u8) -> Self {
        self.max_attempts = max_attempts;
        self
    }

    /// Sets whether it may run more than once.
    #[must_use]
    pub const fn repeat(mut self, repeat: Repeat) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets the number of tokens of prompt and output.
    #[must_use]
    pub const fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the hash of the prompt's prefix.
    #[must_use]
    pub const fn prefix(mut self, prefix: u64) -> Self {
        self.prefix = Some(prefix);
        self
    }
}

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests of all entries.
    pub running: u32,
    /// Requests that are queued inside it.
    pub queued: u32,
    /// Maximum requests that its sidecar accepts at once; 0 if unknown.
    pub limit: u32,
    /// Tokens that it still has to process.
    pub pending_tokens: u64,
    /// Free cache memory in tokens; 0 if unknown.
    pub cache_free: u64,
    /// How long work takes on its host at the moment, in percent of the usual duration, if
    /// it is known.
    pub slowness: Option<u32>,
    /// Age of the report.
    pub age: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is complete.
    Answered,
    /// The sidecar refused it or could not reach the endpoint: it surely never ran.
    NotRun(ErrorKind),
    /// It failed, and may have run.
    Failed(ErrorKind),
}

/// An action that the entry has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send the call to an endpoint.
    Start {
        /// The call.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointKey,
        /// Whether another attempt of it is running elsewhere.
        hedge: bool,
    },
    /// Cancel the call's attempt at an endpoint.
    Cancel {
        /// The call.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointKey,
    },
    /// Refuse the call immediately.
    Refuse {
        /// The call.
        id: RequestId,
        /// The reason.
        kind: ErrorKind,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}
