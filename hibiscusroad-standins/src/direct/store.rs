//! The metadata store: versioned rows, transactions, change feeds and objects.

use crate::{
    http::{ANY_LOOPBACK_PORT, Exchange, Server},
    relay::Relay,
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// The table, part and key of a row.
type Key = (String, String, String);

/// Transactions that would wait longer than this in their part are refused.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every call is refused with status 503.
    pub busy: bool,
    /// No call is carried out or answered.
    pub silent: bool,
    /// No call is carried out or answered, and its connection stays silent after the fault
    /// ends, as if the packets of the call were lost.
    pub lost: bool,
    /// How many of the next transactions are carried out without an answer.
    pub lose: u32,
    /// The delay after which transactions without an answer are carried out.
    pub late: Duration,
    /// The delay of every call.
    pub slow: Duration,
    /// The additional delay of reading or writing an object.
    pub objects: Duration,
    /// The time that a part takes for each transaction. It carries them out one after another,
    /// and refuses those that would wait for more than a second.
    pub part: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    /// All changes in order, as feeds deliver them.
    log: Vec<LoggedChange>,
    /// Changes up to this version are no longer in the log.
    compacted: u64,
    version: u64,
    objects: BTreeMap<String, Vec<u8>>,
    faults: Faults,
    /// When each part has carried out the transactions that it accepted.
    busy_until: BTreeMap<String, Instant>,
    /// Tables whose reads of rows get no answer.
    stalled: BTreeSet<String>,
    /// Which transactions get no answer, beside those that [`Faults`] tell.
    unanswered: Option<Unanswered>,
    calls: Vec<String>,
    /// How many reads and feeds were requested, by path and table.
    reads: BTreeMap<(String, String), usize>,
}

/// Returns whether a write of a row, given by table, key and value, is to be delayed. The value is
/// empty if the row is removed.
type IsDelayed = dyn FnMut(&str, &str, &[u8]) -> bool + Send;

/// Transactions that get no answer and are carried out late.
struct Unanswered {
    is_delayed: Box<IsDelayed>,
    delay: Duration,
}

impl fmt::Debug for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Unanswered")
            .field("delay", &self.delay)
            .finish_non_exhaustive()
    }
}

impl Unanswered {
    fn matches(&mut self, change: &WireChange) -> bool {
        change.puts.iter().chain(&change.remove).any(|row| {
            let value = STANDARD.decode(&row.value).unwrap_or_default();
            (self.is_delayed)(&row.table, &row.key, &value)
        })
    }
}

/// A change of a row.
#[derive(Debug)]
struct LoggedChange {
    version: u64,
    key: Key,
    /// The new value; `None` if the row was removed.
    value: Option<Vec<u8>>,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    start: Instant,
}

/// A metadata store on a free port.
#[derive(Debug)]
pub struct Store {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct WireRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    value: String,
}

impl WireRow {
    fn key(&self) -> Key {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

#[derive(Deserialize)]
struct WireChange {
    #[serde(default)]
    expected: Vec<WireRow>,
    #[serde(default)]
    puts: Vec<WireRow>,
    #[serde(default)]
    remove: Vec<WireRow>,
}

impl Store {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared {
            inner: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let serving = Arc::clone(&shared);
        let server = Server::start(ANY_LOOPBACK_PORT, move |exchange| serve(&serving, exchange))?;
        Ok(Self { server, shared })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the relay in front of the server.
    #[must_use]
    pub fn relay(&self) -> &Relay {
        self.server.relay()
    }

    /// Writes a JSON value as a row.
    pub fn put_json(&self, table: &str, key: &str, value: &Value) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.shared.write(key, value.to_string().into_bytes());
    }

    /// Writes a JSON value as a row of a part.
    pub fn put_in_part(&self, table: &str, part: &str, key: &str, value: &Value) {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        self.shared.write(key, value.to_string().into_bytes());
    }

    /// Writes bytes as a row.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.shared.write(key, value.to_vec());
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut inner = self.shared.lock();
        inner.remove(&key);
        self.shared.changed.notify_all();
    }

    /// Changes rows of a table one after the other, and delivers the changes together: a row is
    /// removed if it gets no value.
    pub fn change_together(&self, table: &str, changes: &[(&str, Option<Value>)]) {
        let mut inner = self.shared.lock();
        for (key, value) in changes {
            let key = (table.to_owned(), String::new(), (*key).to_owned());
            match value {
                Some(value) => {
                    inner.version += 1;
                    inner.insert(key, value.to_string().into_bytes());
                }
                None => inner.remove(&key),
            }
        }
        self.shared.changed.notify_all();
    }

    /// Returns the part, key and value of each row of a table.
    #[must_use]
    pub fn rows(&self, table: &str) -> Vec<(String, String, Vec<u8>)> {
        let inner = self.shared.lock();
        let rows = inner.rows.iter().filter(|(key, _)| key.0 == table);
        rows.map(|(key, (value, _))| (key.1.clone(), key.2.clone(), value.clone()))
            .collect()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Leaves transactions without an answer, and carries them out after `delay`, if `is_delayed`
    /// returns `true` for the table, the key and the value of a row that they write; the value is
    /// empty if the row is removed.
    pub fn delay_writes(
        &self,
        delay: Duration,
        is_delayed: impl FnMut(&str, &str, &[u8]) -> bool + Send + 'static,
    ) {
        self.shared.lock().unanswered = Some(Unanswered {
            is_delayed: Box::new(is_delayed),
            delay,
        });
    }

    /// Answers new transactions again that [`Store::delay_writes`] left without an answer.
    pub fn resume_writes(&self) {
        self.shared.lock().unanswered = None;
    }

    /// Leaves reads of rows of a table without an answer, until [`Store::resume_reads`].
    pub fn stall_reads(&self, table: &str) {
        self.shared.lock().stalled.insert(table.to_owned());
    }

    /// Answers new reads again, and closes the connections of those that got no answer.
    pub fn resume_reads(&self) {
        self.shared.lock().stalled.clear();
    }

    /// Drops the log of changes; feeds that continue from an earlier version are refused.
    pub fn compact_log(&self) {
        let mut inner = self.shared.lock();
        inner.version += 1;
        inner.compacted = inner.version;
        inner.log.clear();
        self.shared.changed.notify_all();
    }

    /// Returns the method and path of each call so far.
    #[must_use]
    pub fn calls(&self) -> Vec<String> {
        self.shared.lock().calls.clone()
    }

    /// Returns how many feeds of changes of a table were requested so far.
    #[must_use]
    pub fn feed_count(&self, table: &str) -> usize {
        self.count("/rows-feed", table)
    }

    /// Returns how many reads of rows of a table were requested so far.
    #[must_use]
    pub fn read_count(&self, table: &str) -> usize {
        self.count("/rows-get", table)
    }

    fn count(&self, path: &str, table: &str) -> usize {
        let key = (path.to_owned(), table.to_owned());
        self.shared.lock().reads.get(&key).copied().unwrap_or(0)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, key: Key, value: Vec<u8>) {
        let mut inner = self.lock();
        inner.version += 1;
        inner.insert(key, value);
        self.changed.notify_all();
    }

    fn is_stalled(&self, exchange: &Exchange) -> bool {
        let table = exchange.query("table").unwrap_or_default();
        exchange.path() == "/rows-get" && self.lock().stalled.contains(table)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0) + 1
    }
}

impl Inner {
    fn insert(&mut self, key: Key, value: Vec<u8>) {
        let version = self.version;
        self.rows.insert(key.clone(), (value.clone(), version));
        self.log.push(LoggedChange {
            version,
            key,
            value: Some(value),
        });
    }

    fn remove(&mut self, key: &Key) {
        self.version += 1;
        if self.rows.remove(key).is_some() {
            self.log.push(LoggedChange {
                version: self.version,
                key: key.clone(),
                value: None,
            });
        }
    }

    /// Returns whether a transaction gets no answer, and the delay after which it is carried out
    /// then.
    fn lose_answer(&mut self, change: &WireChange) -> (bool, Duration) {
        if let Some(unanswered) = &mut self.unanswered
            && unanswered.matches(change)
        {
            return (true, unanswered.delay);
        }
        let is_lost = self.faults.lose > 0;
        self.faults.lose = self.faults.lose.saturating_sub(1);
        (is_lost, self.faults.late)
    }

    fn row(&self, key: &Key) -> Option<Value> {
        let (value, version) = self.rows.get(key)?;
        Some(wire_row(key, value, *version))
    }

    /// Queues a transaction in its part. Returns when it is carried out, or `None` if the part
    /// refuses it.
    fn queue(&mut self, change: &WireChange) -> Option<Instant> {
        let now = Instant::now();
        let mut rows = change.puts.iter().chain(&change.remove);
        let part = rows.next().map(|row| row.part.clone()).unwrap_or_default();
        let busy_until = self.busy_until.entry(part).or_insert(now);
        let start = now.max(*busy_until);
        if start > now + MAX_QUEUE_TIME {
            return None;
        }
        *busy_until = start + self.faults.part;
        Some(*busy_until)
    }

    /// Applies a transaction if the expected row versions match.
    ///
    /// Returns the new version, or else the current rows.
    fn transact(&mut self, change: &WireChange) -> Result<u64, Vec<Value>> {
        let version = |key: &Key| self.rows.get(key).map_or(0, |(_, version)| *version);
        if change
            .expected
            .iter()
            .any(|row| version(&row.key()) != row.ver)
        {
            let rows = change.expected.iter();
            return Err(rows.filter_map(|row| self.row(&row.key())).collect());
        }
        self.version += 1;
        for row in &change.puts {
            let value = STANDARD.decode(&row.value).unwrap_or_default();
            self.insert(row.key(), value);
        }
        for row in &change.remove {
            self.remove(&row.key());
        }
        Ok(self.version)
    }
}

impl LoggedChange {
    fn wire_row(&self) -> Value {
        let Self {
            version,
            key,
            value,
        } = self;
        match value {
            Some(value) => wire_row(key, value, *version),
            None => json!({ "table": key.0, "part": key.1, "key": key.2, "ver": version,
                "removed": true }),
        }
    }
}

fn wire_row(key: &Key, value: &[u8], version: u64) -> Value {
    json!({ "table": key.0, "part": key.1, "key": key.2, "value": STANDARD.encode(value),
        "ver": version })
}

fn serve(shared: &Arc<Shared>, exchange: Exchange) {
    let faults = {
        let mut inner = shared.lock();
        inner
            .calls
            .push(format!("{} {}", exchange.method(), exchange.path()));
        if let Some(table) = exchange.query("table") {
            let key = (exchange.path().to_owned(), table.to_owned());
            *inner.reads.entry(key).or_default() += 1;
        }
        inner.faults
    };
    if faults.busy {
        return exchange.refuse(503, "busy");
    }
    if faults.silent {
        while shared.lock().faults.silent && exchange.is_open() {
            thread::sleep(Duration::from_millis(20));
        }
        return exchange.cut();
    }
    if faults.lost {
        while exchange.is_open() {
            thread::sleep(Duration::from_millis(20));
        }
        return exchange.cut();
    }
    if shared.is_stalled(&exchange) {
        while shared.is_stalled(&exchange) && exchange.is_open() {
            thread::sleep(Duration::from_millis(20));
        }
        return exchange.cut();
    }
    thread::sleep(faults.slow);
    match exchange.path() {
        "/rows-tx" => run_transaction(shared, exchange),
        "/rows-get" => read_rows(shared, exchange),
        "/rows-parts" => list_parts(shared, exchange),
        "/rows-feed" => read_feed(shared, exchange),
        _ => handle_object(shared, exchange),
    }
}

fn run_transaction(shared: &Arc<Shared>, mut exchange: Exchange) {
    let Ok(change) = exchange.json::<WireChange>() else {
        return exchange.refuse(400, "not a transaction");
    };
    let Some(due) = shared.lock().queue(&change) else {
        return exchange.refuse(429, "too many transactions");
    };
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let (lose_answer, delay) = shared.lock().lose_answer(&change);
    if lose_answer && !delay.is_zero() {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            thread::sleep(delay);
            let _refused = shared.lock().transact(&change).is_err();
            shared.changed.notify_all();
        });
        return exchange.cut();
    }
    let result = shared.lock().transact(&change);
    shared.changed.notify_all();
    if lose_answer {
        return exchange.cut();
    }
    let now = shared.now_ms();
    match result {
        Ok(version) => exchange.answer(200, &json!({ "ver": version, "nowMs": now })),
        Err(rows) => {
            let version = shared.lock().version;
            exchange.answer(412, &json!({ "rows": rows, "ver": version, "nowMs": now }));
        }
    }
}

fn read_rows(shared: &Shared, exchange: Exchange) {
    let param = |name: &str| exchange.query(name).map(decode_query);
    let table = param("table").unwrap_or_default();
    let part = param("part").unwrap_or_default();
    let (from, end) = (param("from"), param("target"));
    let inner = shared.lock();
    let in_range = |key: &&Key| {
        key.0 == table
            && key.1 == part
            && from.as_ref().is_none_or(|from| key.2 >= *from)
            && end.as_ref().is_none_or(|end| key.2 < *end)
    };
    let keys = inner.rows.keys().filter(in_range);
    let rows: Vec<Value> = keys.filter_map(|key| inner.row(key)).collect();
    let body = json!({ "rows": rows, "truncated": false, "ver": inner.version,
        "nowMs": shared.now_ms() });
    drop(inner);
    exchange.answer(200, &body);
}

fn list_parts(shared: &Shared, exchange: Exchange) {
    let table = exchange.query("table").map(decode_query);
    let inner = shared.lock();
    let keys = inner
        .rows
        .keys()
        .filter(|key| Some(&key.0) == table.as_ref());
    let parts: BTreeSet<&str> = keys.map(|key| key.1.as_str()).collect();
    let body = json!({ "parts": parts, "ver": inner.version, "nowMs": shared.now_ms() });
    drop(inner);
    exchange.answer(200, &body);
}

fn read_feed(shared: &Shared, exchange: Exchange) {
    let table = exchange
        .query("table")
        .map(decode_query)
        .unwrap_or_default();
    let number = |name: &str| exchange.query(name).and_then(|n| n.parse().ok());
    let after: u64 = number("after").unwrap_or(0);
    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
    let deadline = Instant::now() + wait;
    let mut inner = shared.lock();
    loop {
        if after < inner.compacted {
            drop(inner);
            return exchange.refuse(410, "forgotten");
        }
        let changes = inner.log.iter();
        let rows: Vec<Value> = changes
            .filter(|change| change.version > after && change.key.0 == table)
            .map(LoggedChange::wire_row)
            .collect();
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !rows.is_empty() || remaining.is_zero() || inner.faults.busy || inner.faults.silent {
            let body = json!({ "rows": rows, "ver": inner.version, "nowMs": shared.now_ms() });
            drop(inner);
            return exchange.answer(200, &body);
        }
        let waited = shared.changed.wait_timeout(inner, remaining);
        inner = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn handle_object(shared: &Shared, mut exchange: Exchange) {
    let path = exchange.path().to_owned();
    let Some((call, name)) = path.trim_start_matches('/').split_once('/') else {
        return exchange.refuse(404, "no such call");
    };
    match call {
        "blob-put" => {
            let Ok(body) = exchange.body() else {
                return exchange.cut();
            };
            let delay = shared.lock().faults.objects;
            thread::sleep(delay);
            let exists = shared.lock().objects.contains_key(name);
            if exists && exchange.header("If-None-Match").is_some() {
                return exchange.refuse(412, "exists");
            }
            shared.lock().objects.insert(name.to_owned(), body);
            exchange.answer(200, &json!({}));
        }
        "blob-get" => {
            let delay = shared.lock().faults.objects;
            thread::sleep(delay);
            let found = shared.lock().objects.get(name).cloned();
            match found {
                Some(body) => exchange.answer_bytes(200, &[], body),
                None => exchange.refuse(404, "no such object"),
            }
        }
        "blob-drop" => {
            shared.lock().objects.remove(name);
            exchange.answer(200, &json!({}));
        }
        _ => exchange.refuse(404, "no such call"),
    }
}

/// Decodes a form-encoded query value.
fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut encoded = text.bytes();
    while let Some(byte) = encoded.next() {
        let hex = |byte: Option<u8>| byte.and_then(|b| char::from(b).to_digit(16));
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => match (hex(encoded.next()), hex(encoded.next())) {
                (Some(high), Some(low)) => u8::try_from(high * 16 + low).unwrap_or(b'?'),
                _ => b'?',
            },
            other => other,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
