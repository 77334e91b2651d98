//! What goes into a router and what comes out.

use crate::{
    class::{Class, Repeat},
    error::ErrorKind,
    id::RequestId,
    route::{EndpointKey, ServiceKey, retry::TRIES},
};
use std::time::{Duration, Instant};

/// What an operator lays down for a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Requests that may wait, for each class.
    pub depth: usize,
    /// Share of the service that each class is sure of, in [0, 1], by
    /// [`Class::index`]. The shares add up to at most 1.
    pub floors: [f64; 3],
}

impl ServiceSpec {
    /// Creates the default: 256 waiting requests a class, and floors of 50, 20
    /// and 5 per cent.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            depth: 256,
            floors: [0.5, 0.2, 0.05],
        }
    }

    /// Sets how many requests of each class may wait.
    #[must_use]
    pub const fn depth(mut self, depth: usize) -> Self {
        self.depth = depth;
        self
    }

    /// Sets the shares that the classes are sure of.
    #[must_use]
    pub const fn floors(mut self, floors: [f64; 3]) -> Self {
        self.floors = floors;
        self
    }
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self::new()
    }
}

/// What is known of an endpoint when it is added.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSpec {
    /// Its name, unique in the service.
    pub name: String,
    /// The place where it stands.
    pub place: String,
    /// Requests that its side takes at once.
    pub limit: u32,
    /// Tokens of all requests that its cache memory holds at once; 0 for a
    /// plain endpoint, which is limited by count alone.
    pub tokens: u64,
}

impl EndpointSpec {
    /// Creates a description with a limit of 64 requests at once.
    #[must_use]
    pub fn new(name: &str, place: &str) -> Self {
        Self {
            name: name.to_owned(),
            place: place.to_owned(),
            limit: 64,
            tokens: 0,
        }
    }

    /// Sets how many tokens its cache memory holds at once.
    #[must_use]
    pub const fn tokens(mut self, tokens: u64) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets how many requests its side takes at once.
    #[must_use]
    pub const fn limit(mut self, limit: u32) -> Self {
        self.limit = limit;
        self
    }
}

/// One request as the router sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Its first attempt's id; the entry names later attempts itself.
    pub id: RequestId,
    /// The service that it is for.
    pub service: ServiceKey,
    /// The class of its caller.
    pub class: Class,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// Tokens to be read and generated; 0 for a plain call.
    pub tokens: u32,
    /// Hash of the prompt's prefix, to find an engine that has it cached.
    pub prefix: Option<u64>,
    /// Endpoints that it may be sent to at most, hedges included.
    pub tries: u8,
    /// Whether it runs at one endpoint at a time.
    pub alone: bool,
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
            tries: TRIES,
            alone: false,
        }
    }

    /// Sets whether it runs at one endpoint at a time: one that may have crashed an
    /// endpoint is not hedged.
    #[must_use]
    pub const fn alone(mut self, alone: bool) -> Self {
        self.alone = alone;
        self
    }

    /// Sets how many endpoints it may be sent to at most.
    #[must_use]
    pub const fn tries(mut self, tries: u8) -> Self {
        self.tries = tries;
        self
    }

    /// Sets whether it may run more than once.
    #[must_use]
    pub const fn repeat(mut self, repeat: Repeat) -> Self {
        self.repeat = repeat;
        self
    }

    /// Sets how many tokens it reads and generates.
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

/// What an endpoint reported of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that it works on, from all entries.
    pub running: u32,
    /// Requests that wait inside it.
    pub queued: u32,
    /// Requests that its side takes at once; 0 if unknown.
    pub limit: u32,
    /// Tokens that it still has to read and generate.
    pub tokens: u64,
    /// Free cache memory in tokens; 0 if unknown.
    pub cache_free: u64,
    /// How old the report was when it was sent.
    pub age: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer is there.
    Answered,
    /// The side refused or could not reach the endpoint: it surely never ran.
    NotRun(ErrorKind),
    /// It failed, and may have run.
    Failed(ErrorKind),
}

/// What the entry has to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Send the call to this endpoint.
    Start {
        /// The call.
        id: RequestId,
        /// Where to.
        endpoint: EndpointKey,
        /// True if another attempt of it still runs elsewhere.
        hedge: bool,
    },
    /// Tell this endpoint that the call's answer is no longer wanted.
    Cancel {
        /// The call.
        id: RequestId,
        /// Where it runs.
        endpoint: EndpointKey,
    },
    /// Give the caller its final answer, at once.
    Refuse {
        /// The call.
        id: RequestId,
        /// Why.
        kind: ErrorKind,
        /// When to come back.
        after: Duration,
    },
}
