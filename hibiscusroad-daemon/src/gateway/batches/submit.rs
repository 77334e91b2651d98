//! Acceptance of a batch.
//!
//! The submission is kept as an object first; nothing refers to it yet. The
//! batch exists from the write of its head on, on the condition that there is
//! none. So a refusal is true as long as no head was sent, or the store said
//! that it did not write it. If no answer comes, the write may still be done
//! seconds later: the caller gets an answer that promises nothing and submits
//! again, and finds the head or writes it then.

use super::{Batches, HeadRow, give::Owner, owner::Loaded};
use crate::{
    gateway::{
        answer::{ResponseBody, full_response, problem},
        peers::decode_presence,
    },
    logs::BATCHES,
    platform::Backoff,
};
use futures_util::future::join;
use hibiscusroad::{
    ErrorKind,
    account::Account,
    catalog::Route,
    clock::millis,
    rollout::{
        Submission,
        choice::{self, Candidate},
        row::{self, Head},
    },
    table::{Change, Commit, Range, Row},
};
use hibiscusroad_platform::batch;
use hyper::{Response, StatusCode, body::Bytes};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

/// A submission is worth an answer within its route's target; beyond this its
/// trainer does better to ask another process.
const PATIENCE: Duration = Duration::from_millis(2_500);
/// When a trainer comes back that was refused: outages of the store last
/// seconds, and another process may reach it.
const RETURN: Duration = Duration::from_millis(400);
/// How long a batch is run if its route doesn't say.
const LIFE: Duration = Duration::from_mins(10);
/// How long a batch waits for what the store has for its begin. Reads take 4 ms; a
/// batch that waits for a slow store loses more than it gains.
const PREPARE: Duration = Duration::from_millis(400);
/// Pauses between tries.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(300));

/// What one process has of the batches that are known.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    /// Items of its open batches.
    items: usize,
    /// The store's clock when its last batch was accepted.
    last: Duration,
}

/// A batch that is about to be accepted.
struct Pending {
    head: Head,
    /// Where its owner takes it, if that is another process.
    peer: Option<SocketAddr>,
    submission: Submission,
    /// The submission as it came.
    body: Bytes,
}

impl Batches {
    /// Accepts a batch, once, or refuses it.
    pub(in crate::gateway) async fn submit(
        self: &Rc<Self>,
        id: &str,
        path: &str,
        route: &Route,
        account: Option<&Account>,
        body: Bytes,
    ) -> Response<ResponseBody> {
        if let Some(row) = self.head(id) {
            return repeated(&row.head, account.map(|account| account.name.as_str()));
        }
        let submission = match batch::decode_submission(&body) {
            Ok(submission) if unique(&submission) => submission,
            Ok(_) => return problem(ErrorKind::BadBody, Duration::ZERO),
            Err(error) => {
                log::warn!(target: BATCHES, batch = id, error = error.to_string().as_str();
                    "A submission is not understood.");
                return problem(ErrorKind::BadBody, Duration::ZERO);
            }
        };
        let end = Instant::now() + PATIENCE;
        let (kept, owner) = join(
            self.keep(id, &body, end),
            self.choose_owner(submission.items.len()),
        )
        .await;
        if let Err(failure) = kept {
            log::warn!(target: BATCHES, batch = id, error = failure.as_str();
                "A submission could not be kept; it is refused.");
            return problem(ErrorKind::StoreDown, RETURN);
        }
        let head = self.new_head(path, route, account, &submission, owner.life);
        let new = Pending {
            head,
            peer: owner.peer,
            submission,
            body,
        };
        self.enter(id, new, end).await
    }

    /// Chooses who runs a new batch of so many items.
    async fn choose_owner(&self, items: usize) -> Owner {
        let own = Owner {
            life: self.life.clone(),
            peer: None,
        };
        let owners = self.recent_owners();
        if owners.is_empty() {
            return own;
        }
        let range = Range::part(row::ENTRIES, "");
        let read = timeout(PREPARE, self.store.read_whole(&range)).await;
        let Ok(Ok(page)) = read else {
            log::info!(target: BATCHES, "A batch is run where it comes: nobody is seen to live.");
            return own;
        };
        let candidates: Vec<Candidate> = page
            .rows
            .iter()
            .filter_map(|row| {
                let presence = decode_presence(row)?;
                let held = owners.get(&presence.incarnation)?;
                Some(Candidate {
                    presence,
                    open_items: held.items,
                    last_batch_at: held.last,
                })
            })
            .collect();
        let now = self.store.now().unwrap_or_default();
        let chosen = choice::choose(&candidates, items, self.memory, now);
        let other = chosen.filter(|found| found.presence.incarnation != self.life);
        other.map_or(own, |found| Owner {
            life: found.presence.incarnation.clone(),
            peer: found.presence.peer,
        })
    }

    /// Returns what each process has of the batches that are known, by its life.
    fn recent_owners(&self) -> HashMap<String, Held> {
        let mut owners: HashMap<String, Held> = HashMap::new();
        for HeadRow { head, .. } in self.heads.borrow().values() {
            let held = owners.entry(head.owner.clone()).or_default();
            held.items += if head.ended { 0 } else { head.total };
            held.last = held.last.max(Duration::from_millis(head.accepted));
        }
        owners
    }

    /// Keeps the submission's object.
    async fn keep(&self, id: &str, body: &Bytes, end: Instant) -> Result<(), String> {
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        loop {
            let kept = self
                .store
                .put_object(&row::submission_object(id), body.to_vec())
                .await;
            let Err(failure) = kept else {
                return Ok(());
            };
            if Instant::now() >= end {
                return Err(failure.to_string());
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
    }

    /// Writes the head.
    async fn enter(
        self: &Rc<Self>,
        id: &str,
        new: Pending,
        end: Instant,
    ) -> Response<ResponseBody> {
        let mut backoff = Backoff::new(PAUSE.0, PAUSE.1);
        // Whether a write may be done although no answer said so.
        let mut open = false;
        loop {
            let change = Change::new()
                .expect(row::head(id), 0)
                .put(row::head(id), new.head.encode());
            match self.store.transact(&change).await {
                Commit::Done { version, .. } => {
                    self.entered(id, version, new);
                    return accepted();
                }
                Commit::Conflict(rows) => {
                    for row in &rows {
                        self.note(row);
                    }
                    return found(id, &rows, new.head.account.as_deref());
                }
                Commit::Refused => {}
                Commit::Unknown => open = true,
            }
            if Instant::now() >= end {
                break;
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        self.count("refused");
        log::warn!(target: BATCHES, batch = id, unknown = open; "A batch is not accepted.");
        if open {
            problem(ErrorKind::OutcomeUnknown, RETURN)
        } else {
            problem(ErrorKind::StoreDown, RETURN)
        }
    }

    /// Runs a batch that was accepted, or gives it to its owner.
    fn entered(self: &Rc<Self>, id: &str, version: u64, new: Pending) {
        let Pending {
            head,
            peer,
            submission,
            body,
        } = new;
        log::info!(target: BATCHES, batch = id, items = submission.items.len(),
            model = submission.model.as_deref(), step = submission.step,
            floor = submission.min_version, groups = head.groups.len(),
            target = submission.target, carried = head.carried, row = version,
            owner = head.owner.as_str(); "A batch is accepted.");
        self.count("accepted");
        self.set(id, head.clone(), version);
        self.owners.notify_one();
        let id = id.to_owned();
        if head.owner == self.life {
            let loaded = Loaded::fresh(submission);
            spawn_local(Rc::clone(self).begin(id, head, version, loaded));
        } else if let Some(peer) = peer {
            spawn_local(Rc::clone(self).give(peer, id, version, head, body));
        }
    }

    /// Runs a batch; a new one with what earlier ones have of its texts.
    pub(super) async fn begin(
        self: Rc<Self>,
        id: String,
        head: Head,
        version: u64,
        mut loaded: Loaded,
    ) {
        if loaded.is_new() {
            self.prepare(&id, &head, &mut loaded).await;
        }
        // It may have come by the feed, or have been ended, meanwhile.
        let current = self.head(&id).is_some_and(|row| row.version == version);
        if current && !self.mine.borrow().contains_key(&id) {
            self.run(&id, head, version, loaded);
        }
    }

    /// Reads what a new batch begins with.
    async fn prepare(&self, id: &str, head: &Head, loaded: &mut Loaded) {
        let (paces, carried) = join(
            timeout(PREPARE, self.read_paces()),
            timeout(PREPARE, self.carried_texts(id, head, &loaded.submission)),
        )
        .await;
        if !matches!(paces, Ok(Ok(()))) {
            log::info!(target: BATCHES, batch = id;
                "A batch begins without what others know of engines.");
        }
        match carried {
            Ok(texts) => loaded.carried = texts,
            Err(_elapsed) => log::info!(target: BATCHES, batch = id;
                "Texts are not carried over: the store is slow."),
        }
    }

    fn new_head(
        &self,
        path: &str,
        route: &Route,
        account: Option<&Account>,
        submission: &Submission,
        owner: String,
    ) -> Head {
        let tokens = |item: &hibiscusroad::rollout::Item| u64::from(item.tokens);
        let model = submission.model.clone();
        let named = model
            .as_ref()
            .and_then(|model| self.known.named_versions().get(model).copied());
        let groups = groups(submission);
        let name = account.map(|account| account.name.clone());
        let accepted = millis(self.store.now().unwrap_or_default());
        Head {
            host: route.host.clone(),
            path: path.to_owned(),
            accepted,
            runs_until: accepted + millis(route.item_ttl.or(route.due).unwrap_or(LIFE)),
            owner,
            total: submission.items.len(),
            ended: false,
            lag: named.unwrap_or(1).saturating_sub(submission.min_version),
            work: submission.items.iter().map(tokens).sum(),
            carried: self.carried(name.as_deref(), model.as_deref(), &groups),
            priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
            account: name,
            groups,
            model,
        }
    }

    /// Counts the groups at the beginning that are known from earlier batches.
    fn carried(&self, account: Option<&str>, model: Option<&str>, groups: &[u32]) -> usize {
        let heads = self.heads.borrow();
        let same = heads.values().filter(|row| {
            row.head.account.as_deref() == account && row.head.model.as_deref() == model
        });
        let known: HashSet<u32> = same
            .flat_map(|row| row.head.groups.iter().copied())
            .collect();
        groups
            .iter()
            .take_while(|group| known.contains(group))
            .count()
    }
}

/// Answers when the head exists already: it was accepted before.
fn found(id: &str, rows: &[Row], account: Option<&str>) -> Response<ResponseBody> {
    if let Some(row) = rows.iter().find(|row| row.id.key == id) {
        return match Head::decode(&row.value) {
            Some(head) => repeated(&head, account),
            None => problem(ErrorKind::OutcomeUnknown, RETURN),
        };
    }
    log::error!(target: BATCHES, batch = id; "The store refuses a head without naming its row.");
    problem(ErrorKind::OutcomeUnknown, RETURN)
}

/// Returns the hashes of the groups, in the order of the submission.
fn groups(submission: &Submission) -> Vec<u32> {
    let mut seen = HashSet::new();
    let hashes = submission
        .items
        .iter()
        .map(|item| row::group_hash(&item.group));
    hashes.filter(|hash| seen.insert(*hash)).collect()
}

fn unique(submission: &Submission) -> bool {
    let mut ids: Vec<&str> = submission
        .items
        .iter()
        .map(|item| item.id.as_str())
        .collect();
    ids.sort_unstable();
    ids.windows(2).all(|pair| pair[0] != pair[1])
}

/// Answers a submission of a batch that is known: to its own account it was accepted,
/// to any other its id says nothing, as in all calls about batches.
fn repeated(head: &Head, account: Option<&str>) -> Response<ResponseBody> {
    if head.is_accessible_to(account) {
        accepted()
    } else {
        problem(ErrorKind::UnknownBatch, Duration::ZERO)
    }
}

fn accepted() -> Response<ResponseBody> {
    full_response(StatusCode::ACCEPTED, "", Bytes::new())
}
