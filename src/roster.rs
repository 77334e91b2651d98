//! Which endpoints there are, as they register themselves in the store.
//!
//! An entry that goes away means that its endpoint left, and no request may
//! reach it any more: it is dropped at once. There is one exception. While the
//! store is away endpoints can't renew their entries, which then lapse although
//! the endpoints serve; those that live are back about two seconds after the
//! store. Dropping them at once would empty a whole service at the end of each
//! outage: callers would be refused by a system in which nothing is broken. So
//! what goes away within [`GRACE`] of an outage is kept for the rest of that
//! time, and is gone if it has not come back.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time after an outage for which a lapsed entry is kept: the two seconds in
/// which endpoints register again, and the time that a change takes to arrive.
pub const GRACE: Duration = Duration::from_millis(2_300);

/// Weights that an engine runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: String,
    /// Their version.
    pub version: u64,
}

/// One endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Names it. One that starts again may have the same.
    pub id: String,
    /// When this life of it began, in milliseconds since 1970 by its own clock; all
    /// that is known of an earlier one counts for nothing.
    pub born: Option<u64>,
    /// The service that it belongs to.
    pub service: String,
    /// Where it is called.
    pub address: SocketAddr,
    /// Its data centre.
    pub place: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it says that it is about to leave.
    pub leaving: bool,
    /// Whether it is still slow after its start.
    pub cold: bool,
    /// Weights that it runs, if it is a model engine.
    pub weights: Vec<Weights>,
}

/// A change of the roster.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum News {
    /// The endpoint is new, or something of it changed.
    Seen(Endpoint),
    /// The endpoint of this id is gone.
    Gone(String),
}

impl News {
    /// Returns the endpoint that is new or was changed.
    #[must_use]
    pub const fn seen(&self) -> Option<&Endpoint> {
        match self {
            Self::Seen(endpoint) => Some(endpoint),
            Self::Gone(_) => None,
        }
    }

    /// Returns the id of the endpoint that is gone.
    #[must_use]
    pub fn gone(&self) -> Option<&str> {
        match self {
            Self::Seen(_) => None,
            Self::Gone(id) => Some(id),
        }
    }
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    /// Set while its entry is missing but may come back.
    lapsed: Option<Instant>,
}

/// All endpoints that are known.
#[derive(Debug, Default)]
pub struct Roster {
    rows: HashMap<String, Row>,
    /// The end of the time after an outage.
    shaky: Option<Instant>,
}

impl Roster {
    /// Creates an empty roster.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that the store answers again after it was away.
    pub fn store_back(&mut self, now: Instant) {
        self.shaky = Some(now + GRACE);
    }

    /// Takes in all entries at once; what is missing has lapsed or is gone.
    pub fn replace(&mut self, now: Instant, all: Vec<Endpoint>) -> Vec<News> {
        let ids: Vec<String> = self.rows.keys().cloned().collect();
        let mut news = Vec::new();
        for id in ids {
            if !all.iter().any(|endpoint| endpoint.id == id) {
                news.extend(self.remove(now, &id));
            }
        }
        let seen = all.into_iter().flat_map(|endpoint| self.set(endpoint));
        news.extend(seen);
        news
    }

    /// Takes in a new or changed entry.
    ///
    /// An endpoint that started again under its id holds nothing of what it held
    /// before: to those who hear of it, the one before is gone and another is new.
    /// An entry of an earlier life, written late, is passed over.
    pub fn set(&mut self, endpoint: Endpoint) -> Vec<News> {
        let mut news = Vec::new();
        if let Some(row) = self.rows.get_mut(&endpoint.id) {
            let (before, now) = (row.endpoint.born, endpoint.born);
            if before.zip(now).is_some_and(|(before, now)| now < before) {
                return news;
            }
            row.lapsed = None;
            if row.endpoint == endpoint {
                return news;
            }
            if before != now {
                news.push(News::Gone(endpoint.id.clone()));
            }
        }
        let row = Row {
            endpoint: endpoint.clone(),
            lapsed: None,
        };
        self.rows.insert(endpoint.id.clone(), row);
        news.push(News::Seen(endpoint));
        news
    }

    /// Takes in that an entry is missing.
    pub fn remove(&mut self, now: Instant, id: &str) -> Option<News> {
        let row = self.rows.get_mut(id)?;
        if let Some(until) = self.shaky.filter(|until| now < *until) {
            row.lapsed.get_or_insert(until);
            return None;
        }
        self.rows.remove(id);
        Some(News::Gone(id.to_owned()))
    }

    /// Drops what has been missing for too long.
    pub fn tick(&mut self, now: Instant) -> Vec<News> {
        let over = |row: &Row| row.lapsed.is_some_and(|until| until <= now);
        let rows = self.rows.iter().filter(|(_, row)| over(row));
        let ids: Vec<String> = rows.map(|(id, _)| id.clone()).collect();
        ids.into_iter()
            .map(|id| {
                self.rows.remove(&id);
                News::Gone(id)
            })
            .collect()
    }

    /// Says when [`Roster::tick`] has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.rows.values().filter_map(|row| row.lapsed).min()
    }

    /// Returns the endpoint of an id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// Returns all endpoints, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.rows.values().map(|row| &row.endpoint)
    }
}
