//! Answers about batches, at any process.
//!
//! The owner answers from its memory, which holds only what the store surely
//! has; others read the rows, and so does the owner while the outcome of a write
//! is open. What can't be read is never said to be missing: only
//! the store's word that there is no head is a "not found".

use super::{Batches, HeadRow, Owned, list::REFERENCE};
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

/// Bytes of results in one answer.
const MOST: usize = 900 << 10;
/// Longest time that a reader is kept waiting, whatever it asks for.
const WAIT: Duration = Duration::from_secs(1);
/// Pause between looks for a reader that waits at another process than the owner. One
/// trainer has one read that waits, so two trainers ask for 40 rows a second, and the
/// last result of a step is held up by 25 ms on average.
const LOOK: Duration = Duration::from_millis(50);
/// A write whose outcome is open for longer is looked for in the store. Readers
/// allow a second before what one process showed has to be there at all.
const UNSURE: Duration = Duration::from_millis(250);
/// When a reader comes back to a process that can't read.
const RETURN: Duration = Duration::from_millis(300);
/// Submissions kept for requests of their bodies: a few hundred KB each.
const BODIES: usize = 4;
/// Tries to end a batch, each after the row has changed meanwhile.
const ENDS: usize = 5;

impl Batches {
    /// Answers a call about a batch, by a caller of an account.
    pub(in crate::gateway) async fn answer(
        self: &Rc<Self>,
        call: BatchRequest,
        account: Option<&str>,
        wait: Duration,
    ) -> Response<ResponseBody> {
        let answer = self.answer_account(&call, account, wait).await;
        answer.unwrap_or_else(|failure| {
            log::info!(target: BATCHES, call:? = call, error = failure.to_string().as_str();
                "A call about a batch can't be answered.");
            problem(ErrorKind::StoreDown, RETURN)
        })
    }

    async fn answer_account(
        self: &Rc<Self>,
        call: &BatchRequest,
        account: Option<&str>,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Failure> {
        let found = self.find(call.batch()).await?;
        if !found.is_some_and(|row| row.head.is_accessible_to(account)) {
            return Ok(problem(ErrorKind::UnknownBatch, Duration::ZERO));
        }
        match call {
            BatchRequest::Read { batch, after } => {
                self.results(batch, *after, wait.min(WAIT)).await
            }
            BatchRequest::Body { batch, item } => self.body(batch, item).await,
            BatchRequest::End { batch } => self.end(batch).await,
        }
    }

    /// Finds the head of a batch, in the store if it isn't known here.
    async fn find(self: &Rc<Self>, id: &str) -> Result<Option<HeadRow>, Failure> {
        if let Some(row) = self.head(id) {
            return Ok(Some(row));
        }
        if let Some(row) = self.store.read_row(&row::head(id)).await? {
            self.note(&row);
        }
        Ok(self.head(id))
    }

    async fn results(
        self: &Rc<Self>,
        id: &str,
        after: usize,
        wait: Duration,
    ) -> Result<Response<ResponseBody>, Failure> {
        let end = Instant::now() + wait;
        let Some(row) = self.find(id).await? else {
            return Ok(problem(ErrorKind::UnknownBatch, Duration::ZERO));
        };
        let total = row.head.total;
        loop {
            let mine = self.mine.borrow().get(id).cloned();
            let found = match &mine {
                Some(owned) if !is_unsure(owned, after) => listed(owned, after),
                _ => self.kept(id, after).await?,
            };
            let ended = self.head(id).is_some_and(|row| row.head.ended);
            if !found.is_empty() || after >= total || ended || Instant::now() >= end {
                let body = batch::encode_page(total, after, &some(found));
                return Ok(full_response(StatusCode::OK, "application/json", body));
            }
            match mine {
                Some(owned) => {
                    let news = owned.news.notified();
                    if listed(&owned, after).is_empty() && !owned.over.get() {
                        let _over = timeout_at(end.into(), news).await.is_err();
                    }
                }
                None => sleep_until((Instant::now() + LOOK).min(end).into()).await,
            }
        }
    }

    /// Reads the kept results of a batch from a position on.
    pub(super) async fn kept(&self, id: &str, after: usize) -> Result<Vec<Vec<u8>>, Failure> {
        let name = row::result(id, after);
        // The slash before the position is followed by a zero in byte order.
        let end = format!("{id}0");
        let range = Range {
            start: Some(&name.key),
            end: Some(&end),
            ..Range::part(&name.table, &name.part)
        };
        let mut found = Vec::new();
        for row in self.store.read_whole(&range).await?.rows {
            found.push(self.result_value(row.value).await?);
        }
        Ok(found)
    }

    /// Follows the name of an object where a result was too long for its row.
    async fn result_value(&self, value: Vec<u8>) -> Result<Vec<u8>, Failure> {
        let Some(name) = value.strip_prefix(REFERENCE.as_bytes()) else {
            return Ok(value);
        };
        let name = String::from_utf8_lossy(name);
        let object = self.store.get_object(&name).await?;
        let object = object.ok_or_else(|| Failure::Refused(format!("{name} is not there")))?;
        Ok(object.to_vec())
    }

    async fn body(
        self: &Rc<Self>,
        id: &str,
        item: &str,
    ) -> Result<Response<ResponseBody>, Failure> {
        let unknown = || problem(ErrorKind::UnknownBatch, Duration::ZERO);
        let Some(row) = self.find(id).await? else {
            return Ok(unknown());
        };
        if row.head.ended {
            return Ok(unknown());
        }
        let mine = self.mine.borrow().get(id).cloned();
        let body = match mine {
            Some(owned) => item_body(&owned.submission, item),
            None => item_body(&*self.submission(id).await?, item),
        };
        Ok(body.map_or_else(unknown, |body| {
            full_response(StatusCode::OK, "application/octet-stream", body)
        }))
    }

    /// Reads a batch's submission, or remembers it.
    async fn submission(&self, id: &str) -> Result<Rc<Submission>, Failure> {
        let known = self
            .bodies
            .borrow()
            .iter()
            .find(|(known, _)| known == id)
            .cloned();
        if let Some((_, submission)) = known {
            return Ok(submission);
        }
        let object = self.store.get_object(&row::submission_object(id)).await?;
        let object = object.ok_or_else(|| Failure::Refused("no submission is there".into()))?;
        let submission = Rc::new(batch::decode_submission(&object)?);
        let mut bodies = self.bodies.borrow_mut();
        if bodies.len() >= BODIES {
            bodies.remove(0);
        }
        bodies.push((id.to_owned(), Rc::clone(&submission)));
        Ok(submission)
    }

    /// Ends a batch, which a repeated call finds done.
    async fn end(self: &Rc<Self>, id: &str) -> Result<Response<ResponseBody>, Failure> {
        for _ in 0..ENDS {
            let Some(row) = self.find(id).await? else {
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
                    self.count("ended");
                    self.note(&hibiscusroad::table::Row {
                        id: name,
                        value: head.encode(),
                        version,
                    });
                    return Ok(full_response(StatusCode::OK, "", ""));
                }
                Commit::Conflict(rows) => rows.iter().for_each(|row| self.note(row)),
                Commit::Refused => sleep(LOOK).await,
                Commit::Unknown => {}
            }
        }
        Err(Failure::Lost(
            "the end of a batch could not be written".into(),
        ))
    }
}

/// Says whether the store may have results from a position on that the owner
/// doesn't know to be listed: others read them from there, and what was read
/// once must be found here as well.
fn is_unsure(owned: &Owned, after: usize) -> bool {
    let known = owned.listed.borrow().len();
    let open = owned.writing.get();
    after > known || (after == known && open.is_some_and(|since| since.elapsed() > UNSURE))
}

/// Returns what the owner has listed from a position on.
fn listed(owned: &Owned, after: usize) -> Vec<Vec<u8>> {
    let listed = owned.listed.borrow();
    listed.get(after..).unwrap_or_default().to_vec()
}

/// Takes as many results as fit in one answer, one at least.
fn some(results: Vec<Vec<u8>>) -> Vec<Vec<u8>> {
    let mut bytes = 0;
    let mut taken = Vec::new();
    for result in results {
        bytes += result.len();
        if bytes > MOST && !taken.is_empty() {
            break;
        }
        taken.push(result);
    }
    taken
}

fn item_body(submission: &Submission, id: &str) -> Option<Vec<u8>> {
    let item = submission.items.iter().find(|item| item.id == id)?;
    Some(item.body.clone())
}
