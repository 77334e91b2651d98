//! Accepts batches.
//!
//! A small submission is stored as rows in the transaction of its head, a long one as an object
//! before. The batch exists once its head is written, on the condition that there is no head yet. So a refusal is certain only if no head was
//! sent, or the store has refused the write. If the store doesn't answer, the write may
//! still be carried out seconds later; the caller is told that the outcome is unknown and
//! submits again, which finds the head or writes it.

use super::{Batches, HeadRow, owner::BatchState, regions::allowed_names, transfer::Owner};
use crate::{
    gateway::{
        answer::{ResponseBody, full_response, problem},
        peers::decode_process,
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
        choice::{self, Candidate, Home, PREFERENCE},
        row::{self, Head, OwnerLoad, OwnerRow},
    },
    table::{Change, Commit, Range, Row},
};
use hibiscusroad_platform::{batch, table::MAX_ENTRIES};
use hyper::{Response, StatusCode, body::Bytes};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout, timeout_at},
};

/// Limit for the acceptance of a batch; after it the trainer tries another process.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// When a trainer may submit again after the store has failed. Outages last seconds, but
/// another process may reach the store.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// When a trainer may submit a batch again whose regions have no data centre, which only a change
/// of the configuration or the settings mends.
const REGION_RETRY_AFTER: Duration = Duration::from_secs(5);
/// How long a batch runs if its route sets no limit.
const DEFAULT_BATCH_TTL: Duration = Duration::from_mins(10);
/// Limit for each of the optional reads before a batch starts. A batch that waits for a slow
/// store loses more than it gains.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(400);
/// The form of rows from which on gateways read submissions from rows.
const SUBMISSION_FORM: u32 = 1;
/// Limit of the submissions that are stored as rows; the store accepts 1 MB with names and base64.
const MAX_SUBMISSION_BYTES: usize = 600 << 10;
/// Limit of the rows of a submission. The head is one more row, and a condition.
const MAX_SUBMISSION_ROWS: usize = MAX_ENTRIES - 2;
/// Shortest and longest wait between retries.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(300));

/// A batch that is about to be accepted.
struct NewBatch {
    head: Head,
    /// The address of its owner, if that is another process.
    address: Option<SocketAddr>,
    submission: Submission,
    /// The submission as received.
    body: Bytes,
    /// Whether it is stored as rows.
    in_rows: bool,
}

impl Batches {
    /// Accepts a batch once, or refuses it.
    pub(in crate::gateway) async fn submit(
        self: &Rc<Self>,
        id: &str,
        path: &str,
        route: &Route,
        account: Option<&Account>,
        body: Bytes,
    ) -> Response<ResponseBody> {
        if let Some(row) = self.head(id) {
            return answer_repeated(&row.head, account.map(|account| account.name.as_str()));
        }
        let allowed = allowed_names(route, account);
        if self.is_nowhere(allowed.as_deref()) {
            self.context.meters.region_refusals.inc();
            log::info!(target: BATCHES, batch = id, route = route.name.as_str(), allowed:? = allowed;
                "A batch is refused: its regions have no data centre.");
            return problem(ErrorKind::NoEndpointInRegion, REGION_RETRY_AFTER);
        }
        let submission = match batch::decode_submission(&body) {
            Ok(submission) if has_unique_ids(&submission) => submission,
            Ok(_) => return problem(ErrorKind::BadBody, Duration::ZERO),
            Err(error) => {
                log::warn!(target: BATCHES, batch = id, error = error.to_string().as_str();
                    "A submission could not be decoded; it is refused.");
                return problem(ErrorKind::BadBody, Duration::ZERO);
            }
        };
        let deadline = Instant::now() + ACCEPT_TIMEOUT;
        let in_rows = self.fits_rows(&body);
        let store = async {
            if in_rows {
                return Ok(());
            }
            self.store_submission(id, &body, deadline).await
        };
        let owner = self.choose_owner(submission.items.len(), allowed.as_deref());
        let (stored, owner) = join(store, owner).await;
        if let Err(failure) = stored {
            log::warn!(target: BATCHES, batch = id, error = failure.as_str();
                "A submission could not be stored; it is refused.");
            return problem(ErrorKind::StoreDown, RETRY_AFTER);
        }
        let origin = self.topology().own_region_name();
        let head = Head {
            origin: allowed.is_some().then(|| origin.to_owned()),
            regions: allowed,
            ..self.new_head(path, route, account, &submission, owner.incarnation)
        };
        let new = NewBatch {
            head,
            address: owner.address,
            submission,
            body,
            in_rows,
        };
        self.write_head(id, new, deadline).await
    }

    /// Chooses the process that runs a new batch with the given number of items in these regions.
    async fn choose_owner(&self, items: usize, allowed: Option<&[String]>) -> Owner {
        let own = Owner {
            incarnation: self.incarnation.clone(),
            address: None,
        };
        let range = Range::part(row::ENTRIES, "");
        let read = timeout(PREPARE_TIMEOUT, self.store.read_whole(&range)).await;
        let Ok(Ok(page)) = read else {
            log::info!(target: BATCHES,
                "The heartbeats could not be read; the batch is run by the process that accepted it.");
            return own;
        };
        let candidates = self.candidates(&page.rows);
        let now = self.store.now().unwrap_or_default();
        let home = Home {
            region: self.topology().own_region_name(),
            allowed,
            preference: PREFERENCE,
        };
        let chosen = choice::choose_in_regions(&candidates, items, self.memory_mb, now, &home);
        if chosen.is_none() {
            let ages = candidates
                .iter()
                .map(|candidate| millis(candidate.age(now)));
            log::info!(target: BATCHES, heartbeats = page.rows.len(),
                candidates = candidates.len(), age_ms:? = ages.min(), items = items,
                allowed:? = allowed;
                "No owner of other batches can take a batch; the accepting process runs it.");
        }
        let other = chosen.filter(|found| found.presence.incarnation != self.incarnation);
        other.map_or(own, |found| Owner {
            incarnation: found.presence.incarnation.clone(),
            address: found.presence.peer,
        })
    }

    /// Returns the processes that were given batches, by their heartbeat rows.
    ///
    /// Where there are several regions, or limits for cold endpoints, also the one that only holds
    /// the duties: if several trainers start at the same time, each accepting process would become
    /// an owner, with connections of its own to all engines and a part of those limits. The holder
    /// has connections already, for orders of weights.
    ///
    /// An owner's row tells of its batches, too: after its start, and while its feed hangs, this
    /// process doesn't know all of them.
    fn candidates(&self, rows: &[Row]) -> Vec<Candidate> {
        let loads = self.known_loads();
        let takes_idle = self.topology().is_divided() || self.context.cold.is_needed();
        let candidates = rows.iter().filter_map(|row| {
            let OwnerRow { presence, load } = decode_process(row)?;
            let load = loads.get(&presence.incarnation).copied().unwrap_or(load);
            (takes_idle || load.last_batch > 0).then(|| Candidate {
                presence,
                open_items: load.open_items,
                last_batch_at: Duration::from_millis(load.last_batch),
            })
        });
        candidates.collect()
    }

    /// Returns the load of the owners of known batches, by incarnation.
    pub(super) fn known_loads(&self) -> HashMap<String, OwnerLoad> {
        let mut loads: HashMap<String, OwnerLoad> = HashMap::new();
        for HeadRow { head, .. } in self.heads.borrow().values() {
            let load = loads.entry(head.owner.clone()).or_default();
            load.open_items += if head.ended { 0 } else { head.total };
            load.last_batch = load.last_batch.max(head.accepted);
        }
        loads
    }

    /// Returns whether a submission is stored as rows: it is small enough for one transaction, and
    /// whichever gateway gets the batch reads them.
    fn fits_rows(&self, body: &[u8]) -> bool {
        self.store.row_form() >= SUBMISSION_FORM
            && !body.is_empty()
            && body.len() <= MAX_SUBMISSION_BYTES
            && body.len().div_ceil(self.max_row_bytes) <= MAX_SUBMISSION_ROWS
    }

    /// Builds the transaction that accepts a batch.
    fn acceptance(&self, id: &str, new: &NewBatch) -> Change {
        let head = row::head(id);
        let change = Change::new()
            .expect(head.clone(), 0)
            .put(head, new.head.encode());
        if !new.in_rows {
            return change;
        }
        let rows = new.body.chunks(self.max_row_bytes).enumerate();
        rows.fold(change, |change, (number, part)| {
            change.put(row::submission(id, number), part.to_vec())
        })
    }

    /// Writes the submission's object.
    async fn store_submission(
        &self,
        id: &str,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<(), String> {
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        loop {
            let name = row::submission_object(id);
            let put = self.store.put_object(&name, body.to_vec());
            let Ok(stored) = timeout_at(deadline.into(), put).await else {
                return Err("time is over".to_owned());
            };
            let Err(failure) = stored else {
                return Ok(());
            };
            if Instant::now() >= deadline {
                return Err(failure.to_string());
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
    }

    /// Writes the head of a new batch, which accepts it.
    async fn write_head(
        self: &Rc<Self>,
        id: &str,
        new: NewBatch,
        deadline: Instant,
    ) -> Response<ResponseBody> {
        let mut backoff = Backoff::new(RETRY_BACKOFF.0, RETRY_BACKOFF.1);
        // Whether an unanswered write may have been carried out.
        let mut is_unknown = false;
        let change = self.acceptance(id, &new);
        loop {
            match self.store.transact(&change).await {
                Commit::Done { version, .. } => {
                    self.start_accepted(id, version, new);
                    return accepted();
                }
                Commit::Conflict(rows) => {
                    for row in &rows {
                        self.record_head(row);
                    }
                    return answer_conflict(id, &rows, new.head.account.as_deref());
                }
                Commit::Refused => {}
                Commit::Unknown => is_unknown = true,
            }
            if Instant::now() >= deadline {
                break;
            }
            sleep(backoff.next_wait(&mut rand::rng())).await;
        }
        self.count_event("refused");
        log::warn!(target: BATCHES, batch = id, unknown = is_unknown; "A batch is not accepted.");
        if is_unknown {
            problem(ErrorKind::OutcomeUnknown, RETRY_AFTER)
        } else {
            problem(ErrorKind::StoreDown, RETRY_AFTER)
        }
    }

    /// Runs an accepted batch, or sends it to its owner.
    fn start_accepted(self: &Rc<Self>, id: &str, version: u64, new: NewBatch) {
        let NewBatch {
            head,
            address,
            submission,
            body,
            ..
        } = new;
        log::info!(target: BATCHES, batch = id, items = submission.items.len(),
            model = submission.model.as_deref(), step = submission.step,
            floor = submission.min_version, groups = head.groups.len(),
            target = submission.target, carried = head.carried, row = version,
            owner = head.owner.as_str(); "A batch is accepted.");
        self.count_event("accepted");
        self.update_head(id, head.clone(), version);
        self.owners_changed.notify_one();
        let id = id.to_owned();
        if head.owner == self.incarnation {
            self.mark_owning();
            let state = BatchState::new(submission);
            spawn_local(Rc::clone(self).begin(id, head, version, state));
        } else if let Some(address) = address {
            spawn_local(Rc::clone(self).send_to_owner(address, id, version, head, body));
        }
    }

    /// Runs a batch, a new one with the texts that earlier batches have of its items.
    pub(super) async fn begin(
        self: Rc<Self>,
        id: String,
        head: Head,
        version: u64,
        mut state: BatchState,
    ) {
        if state.is_new() {
            self.prepare(&id, &head, &mut state).await;
        }
        self.wait_for_route(&id, &head, version).await;
        // The feed may have started or ended it meanwhile.
        let is_current = self.head(&id).is_some_and(|row| row.version == version);
        if is_current && !self.owned.borrow().contains_key(&id) {
            self.run(&id, head, version, state);
        }
    }

    /// Reads the paces of engines and the texts that a new batch starts with.
    async fn prepare(&self, id: &str, head: &Head, state: &mut BatchState) {
        let (paces, carried) = join(
            timeout(PREPARE_TIMEOUT, self.read_paces()),
            timeout(
                PREPARE_TIMEOUT,
                self.read_carried_texts(id, head, &state.submission),
            ),
        )
        .await;
        if !matches!(paces, Ok(Ok(()))) {
            log::info!(target: BATCHES, batch = id;
                "The paces of engines could not be read; the batch starts without them.");
        }
        match carried {
            Ok(texts) => state.carried = texts,
            Err(_elapsed) => log::info!(target: BATCHES, batch = id;
                "Carried texts could not be read in time; the batch starts without them."),
        }
    }

    /// Builds the head of a new batch.
    fn new_head(
        &self,
        path: &str,
        route: &Route,
        account: Option<&Account>,
        submission: &Submission,
        owner: String,
    ) -> Head {
        let token_limit = |item: &hibiscusroad::rollout::Item| u64::from(item.tokens);
        let model = submission.model.clone();
        let newest = model
            .as_ref()
            .and_then(|model| self.known.named_versions().get(model).copied());
        let groups = group_hashes(submission);
        let name = account.map(|account| account.name.clone());
        let accepted = millis(self.store.now().unwrap_or_default());
        Head {
            host: route.host.clone(),
            path: path.to_owned(),
            accepted,
            runs_until: accepted
                + millis(route.item_ttl.or(route.due).unwrap_or(DEFAULT_BATCH_TTL)),
            owner,
            total: submission.items.len(),
            ended: false,
            lag: newest.unwrap_or(1).saturating_sub(submission.min_version),
            work: submission.items.iter().map(token_limit).sum(),
            carried: self.count_carried(name.as_deref(), model.as_deref(), &groups),
            priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
            account: name,
            groups,
            model,
            regions: None,
            origin: None,
        }
    }

    /// Counts the leading groups that earlier batches have too.
    fn count_carried(&self, account: Option<&str>, model: Option<&str>, groups: &[u32]) -> usize {
        let heads = self.heads.borrow();
        let related = heads.values().filter(|row| {
            row.head.account.as_deref() == account && row.head.model.as_deref() == model
        });
        let known: HashSet<u32> = related
            .flat_map(|row| row.head.groups.iter().copied())
            .collect();
        groups
            .iter()
            .take_while(|group| known.contains(group))
            .count()
    }
}

/// Answers a submission whose head exists already.
fn answer_conflict(id: &str, rows: &[Row], account: Option<&str>) -> Response<ResponseBody> {
    if let Some(row) = rows.iter().find(|row| row.id.key == id) {
        return match Head::decode(&row.value) {
            Some(head) => answer_repeated(&head, account),
            None => problem(ErrorKind::OutcomeUnknown, RETRY_AFTER),
        };
    }
    log::error!(target: BATCHES, batch = id;
        "The store reported a conflict without the head's row.");
    problem(ErrorKind::OutcomeUnknown, RETRY_AFTER)
}

/// Returns the distinct group hashes, in the order of the submission.
fn group_hashes(submission: &Submission) -> Vec<u32> {
    let mut seen = HashSet::new();
    let hashes = submission
        .items
        .iter()
        .map(|item| row::group_hash(&item.group));
    hashes.filter(|hash| seen.insert(*hash)).collect()
}

/// Returns whether no two items have the same id.
fn has_unique_ids(submission: &Submission) -> bool {
    let mut ids: Vec<&str> = submission
        .items
        .iter()
        .map(|item| item.id.as_str())
        .collect();
    ids.sort_unstable();
    ids.windows(2).all(|pair| pair[0] != pair[1])
}

/// Answers a repeated submission: accepted for the client account of the batch, unknown for
/// all others, as in all calls about batches.
fn answer_repeated(head: &Head, account: Option<&str>) -> Response<ResponseBody> {
    if head.is_accessible_to(account) {
        accepted()
    } else {
        problem(ErrorKind::UnknownBatch, Duration::ZERO)
    }
}

fn accepted() -> Response<ResponseBody> {
    full_response(StatusCode::ACCEPTED, "", Bytes::new())
}
