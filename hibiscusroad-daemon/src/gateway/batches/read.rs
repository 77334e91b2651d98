//! Answers calls about batches, at any process.
//!
//! The owner answers from memory, which holds only what is surely in the store; other
//! processes read the rows, and so does the owner while the outcome of a write is unknown.
//! "Not found" is answered only if the store says that there is no head.

use super::{Batches, HeadRow, OwnedBatch, list::OBJECT_PREFIX};
use crate::{
    gateway::{
        answer::{ResponseBody, full_response, problem},
        failure::Failure,
    },
    logs::BATCHES,
};
use hibiscusroad::{
    ErrorKind,
    rollout::{
        Submission,
        row::{self, Head},
    },
    table::{Change, Commit, Range},
};
use hibiscusroad_platform::batch::{self, BatchRequest};
use hyper::{Response, StatusCode};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, sleep_until, timeout_at};

/// Limit of the results in one answer.
const MAX_PAGE_BYTES: usize = 900 << 10;
/// The longest wait for new results.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time between two reads of the store for a reader that waits at a process which is not
/// the owner. It delays the last result of a step by 25 ms on average.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the owner looks for an unanswered write in the store. Results that one
/// process has shown must be readable at all processes within a second.
const UNCONFIRMED_WRITE_TIMEOUT: Duration = Duration::from_millis(250);
/// When a caller may try again after the store has failed.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Size of the cache of submissions, which have some hundred KB each.
const MAX_CACHED_SUBMISSIONS: usize = 4;
/// Limit of the tries to end a batch whose row changes meanwhile.
const MAX_END_ATTEMPTS: usize = 5;

impl Batches {
    /// Answers a call about a batch, from a caller of a client account.
    pub(in crate::gateway) async fn answer(
        self: &Rc<Self>,
        call: BatchRequest,
        account: Option<&str>,
        wait: Duration,
    ) -> Response<ResponseBody> {
        let answer = self.answer_account(&call, account, wait).await;
        answer.unwrap_or_else(|failure| {
            log::info!(target: BATCHES, call:? = call, error = failure.to_string().as_str();
                "A call about a batch could not be answered.");
            problem(ErrorKind::StoreDown, RETRY_AFTER)
        })
    }

    async fn answer_account(
        self: &Rc<Self>,
        call: &BatchRequest,
        account: Option<&str>,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Failure> {
        let found = self.find_head(call.batch()).await?;
        if !found.is_some_and(|row| row.head.is_accessible_to(account)) {
            return Ok(problem(ErrorKind::UnknownBatch, Duration::ZERO));
        }
        match call {
            BatchRequest::Read { batch, after } => {
                self.answer_results(batch, *after, wait.min(MAX_WAIT)).await
            }
            BatchRequest::Body { batch, item } => self.answer_body(batch, item).await,
            BatchRequest::End { batch } => self.end_batch(batch).await,
        }
    }

    /// Returns the head of a batch, from the store if it isn't known here.
    async fn find_head(self: &Rc<Self>, id: &str) -> Result<Option<HeadRow>, Failure> {
        if let Some(row) = self.head(id) {
            return Ok(Some(row));
        }
        if let Some(row) = self.store.read_row(&row::head(id)).await? {
            self.record_head(&row);
        }
        Ok(self.head(id))
    }

    /// Answers with results, and waits for new ones if there are none.
    async fn answer_results(
        self: &Rc<Self>,
        id: &str,
        after: usize,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Failure> {
        let deadline = Instant::now() + wait;
        let Some(row) = self.find_head(id).await? else {
            return Ok(problem(ErrorKind::UnknownBatch, Duration::ZERO));
        };
        let total = row.head.total;
        loop {
            let running = self.owned.borrow().get(id).cloned();
            let found = match &running {
                Some(owned) if !may_be_behind_store(owned, after) => listed_from(owned, after),
                _ => self.read_results(id, after).await?,
            };
            let ended = self.head(id).is_some_and(|row| row.head.ended);
            if !found.is_empty() || after >= total || ended || Instant::now() >= deadline {
                let body = batch::encode_page(total, after, &limit_page(found));
                return Ok(full_response(StatusCode::OK, "application/json", body));
            }
            match running {
                Some(owned) => {
                    let listed = owned.results_listed.notified();
                    if listed_from(&owned, after).is_empty() && !owned.is_stopped.get() {
                        let _is_elapsed = timeout_at(deadline.into(), listed).await.is_err();
                    }
                }
                None => sleep_until((Instant::now() + POLL_INTERVAL).min(deadline).into()).await,
            }
        }
    }

    /// Reads the stored results of a batch from a position on.
    pub(super) async fn read_results(
        &self,
        id: &str,
        after: usize,
    ) -> Result<Vec<Vec<u8>>, Failure> {
        let name = row::result(id, after);
        // '0' is the byte after '/'.
        let end = format!("{id}0");
        let range = Range {
            start: Some(&name.key),
            end: Some(&end),
            ..Range::part(&name.table, &name.part)
        };
        let mut found = Vec::new();
        for row in self.store.read_whole(&range).await?.rows {
            found.push(self.decode_row(row.value).await?);
        }
        Ok(found)
    }

    /// Returns the result of a row, or of the object that the row names.
    async fn decode_row(&self, value: Vec<u8>) -> Result<Vec<u8>, Failure> {
        let Some(name) = value.strip_prefix(OBJECT_PREFIX.as_bytes()) else {
            return Ok(value);
        };
        let name = String::from_utf8_lossy(name);
        let object = self.store.get_object(&name).await?;
        let object = object.ok_or_else(|| Failure::Refused(format!("object {name} is missing")))?;
        Ok(object.to_vec())
    }

    /// Answers with the body of an item.
    async fn answer_body(
        self: &Rc<Self>,
        id: &str,
        item: &str,
    ) -> Result<Response<ResponseBody>, Failure> {
        let unknown = || problem(ErrorKind::UnknownBatch, Duration::ZERO);
        let Some(row) = self.find_head(id).await? else {
            return Ok(unknown());
        };
        if row.head.ended {
            return Ok(unknown());
        }
        let running = self.owned.borrow().get(id).cloned();
        let body = match running {
            Some(owned) => item_body(&owned.submission, item),
            None => item_body(&*self.load_submission(id).await?, item),
        };
        Ok(body.map_or_else(unknown, |body| {
            full_response(StatusCode::OK, "application/octet-stream", body)
        }))
    }

    /// Returns a batch's submission from the cache or the store. It is kept only where the batch
    /// may be held.
    async fn load_submission(&self, id: &str) -> Result<Rc<Submission>, Failure> {
        let known = self
            .submissions
            .borrow()
            .iter()
            .find(|(known, _)| known == id)
            .cloned();
        if let Some((_, submission)) = known {
            return Ok(submission);
        }
        let submission = Rc::new(self.read_submission(id).await?);
        if !self.head(id).is_some_and(|row| self.may_hold(&row.head)) {
            return Ok(submission);
        }
        let mut cache = self.submissions.borrow_mut();
        if cache.len() >= MAX_CACHED_SUBMISSIONS {
            cache.remove(0);
        }
        cache.push((id.to_owned(), Rc::clone(&submission)));
        Ok(submission)
    }

    /// Reads a batch's submission: its rows, or else its object.
    pub(super) async fn read_submission(&self, id: &str) -> Result<Submission, Failure> {
        let start = row::submission(id, 0);
        // '0' is the byte after '/'.
        let end = format!("{id}0");
        let range = Range {
            start: Some(&start.key),
            end: Some(&end),
            ..Range::part(&start.table, &start.part)
        };
        let rows = self.store.read_whole(&range).await?.rows;
        if !rows.is_empty() {
            let body: Vec<u8> = rows.into_iter().flat_map(|row| row.value).collect();
            return Ok(batch::decode_submission(&body)?);
        }
        let object = self.store.get_object(&row::submission_object(id)).await?;
        let object =
            object.ok_or_else(|| Failure::Refused("the submission object is missing".into()))?;
        Ok(batch::decode_submission(&object)?)
    }

    /// Ends a batch; a repeated call succeeds too.
    async fn end_batch(self: &Rc<Self>, id: &str) -> Result<Response<ResponseBody>, Failure> {
        for _ in 0..MAX_END_ATTEMPTS {
            let Some(row) = self.find_head(id).await? else {
                return Ok(problem(ErrorKind::UnknownBatch, Duration::ZERO));
            };
            if row.head.ended {
                return Ok(full_response(StatusCode::OK, "", ""));
            }
            let head = Head {
                ended: true,
                ..row.head
            };
            let name = row::head(id);
            let change = Change::new()
                .expect(name.clone(), row.version)
                .put(name.clone(), head.encode());
            match self.store.transact(&change).await {
                Commit::Done { version, .. } => {
                    log::info!(target: BATCHES, batch = id, row = version; "A batch is ended.");
                    self.count_event("ended");
                    self.record_head(&hibiscusroad::table::Row {
                        id: name,
                        value: head.encode(),
                        version,
                    });
                    return Ok(full_response(StatusCode::OK, "", ""));
                }
                Commit::Conflict(rows) => rows.iter().for_each(|row| self.record_head(row)),
                Commit::Refused => sleep(POLL_INTERVAL).await,
                Commit::Unknown => {}
            }
        }
        Err(Failure::Lost(
            "the end of the batch could not be written".into(),
        ))
    }
}

/// Returns whether the store may have results from a position on that the owner doesn't
/// know to be listed. Other processes may have shown them already.
fn may_be_behind_store(owned: &OwnedBatch, after: usize) -> bool {
    let listed_count = owned.listed.borrow().len();
    let write_started = owned.write_started.get();
    after > listed_count
        || (after == listed_count
            && write_started.is_some_and(|since| since.elapsed() > UNCONFIRMED_WRITE_TIMEOUT))
}

/// Returns the results that the owner has listed from a position on.
fn listed_from(owned: &OwnedBatch, after: usize) -> Vec<Vec<u8>> {
    let listed = owned.listed.borrow();
    listed.get(after..).unwrap_or_default().to_vec()
}

/// Returns as many results as fit in one answer, at least one.
fn limit_page(results: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let mut bytes = 0;
    let mut page = Vec::new();
    for result in results {
        bytes += result.len();
        if bytes > MAX_PAGE_BYTES && !page.is_empty() {
            break;
        }
        page.push(result);
    }
    page
}

/// Returns the body of an item.
fn item_body(submission: &Submission, id: &str) -> Option<Vec<u8>> {
    let item = submission.items.iter().find(|item| item.id == id)?;
    Some(item.body.clone())
}
