//! The platform's store and its API for duties.

use {
    crate::{
        Record,
        http::{Message, Reader, respond, serve},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::TcpListener,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

#[derive(Clone, PartialEq)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Number of times that it came back from a copy.
    returns: u64,
    /// While set, calls get no answer.
    away: bool,
    /// Era before the first return.
    first_era: u64,
    /// Times of the linearizable reads of the workers, and which entries were answered.
    reads: Vec<(Instant, Vec<String>)>,
}

/// Copy of the store, from which it can come back.
pub struct StoreCopy(State);

/// The store. Values are kept as base64 text, as they are on the wire.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for piece in bytes.chunks(3) {
        let n = piece.iter().fold(0_u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - piece.len()));
        for i in 0..4 {
            let letter = LETTERS[(n >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= piece.len() { letter.into() } else { '=' });
        }
    }
    out
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.0.lock().expect("not poisoned");
        let now = Instant::now();
        let ended: Vec<u64> =
            (state.leases.iter()).filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            end_lease(&mut state, id);
        }
        state
    }

    /// Writes as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        put(&mut state, key, base64(value.to_string().as_bytes()), 0);
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.items.remove(key);
    }

    /// A store whose era is `first` until it comes back from a copy.
    pub fn with_era(first: u64) -> Self {
        let store = Self::default();
        store.lock().first_era = first;
        store
    }

    /// Reads of the workers since `time`, with the entries that were answered.
    pub fn reads_since(&self, time: Instant) -> Vec<(Instant, Vec<String>)> {
        let state = self.lock();
        state.reads.iter().filter(|(at, _)| *at >= time).cloned().collect()
    }

    /// Present era.
    pub fn era(&self) -> u64 {
        let state = self.lock();
        state.first_era + state.returns
    }

    /// Copies the store.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Calls get no answer from now on.
    pub fn go_away(&self) {
        self.lock().away = true;
    }

    /// Comes back from `copy`: what was acknowledged since is gone, leases too. The era rises.
    pub fn come_back(&self, copy: &StoreCopy) {
        let mut state = self.lock();
        let (returns, reads) = (state.returns + 1, std::mem::take(&mut state.reads));
        *state = copy.0.clone();
        state.reads = reads;
        let leased = |i: &Item| i.lease != 0;
        state.items.retain(|_, i| !leased(i));
        state.leases.clear();
        (state.returns, state.away) = (returns, false);
    }

    /// Serves the store on `listener`.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        serve(listener, move |reader, request| store.handle(reader, &request));
    }

    fn handle(&self, reader: &mut Reader, request: &Message) -> io::Result<bool> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if self.lock().away {
            return Ok(false);
        }
        let (status, answer) = self.call(request, &body);
        let era = self.era().to_string();
        let fields = [("content-type", "application/json"), ("store-era", &era)];
        respond(&mut reader.io, status, &fields, &answer.to_string())?;
        Ok(true)
    }

    fn call(&self, request: &Message, body: &Value) -> (u16, Value) {
        let mut state = self.lock();
        let path = request.path();
        let tail = path.rsplit('/').next().unwrap_or_default();
        match path {
            "/-/kv-key" => match state.items.get(&request.query("key")) {
                Some(item) => {
                    let mut found = row(&request.query("key"), item);
                    found["at"] = state.revision.into();
                    (200, found)
                }
                None => (404, json!({"at": state.revision})),
            },
            "/-/kv-range" => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let found =
                    state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<Value> = found.map(|(k, i)| row(k, i)).collect();
                if prefix == "servers/" && request.query("allowStale") != "1" {
                    let key = |i: &Value| i["key"].as_str().unwrap_or_default().to_owned();
                    let keys = items.iter().map(key).collect();
                    state.reads.push((Instant::now(), keys));
                }
                (200, json!({"items": items, "truncated": false, "at": state.revision}))
            }
            "/-/kv-txn" => transact(&mut state, body),
            "/-/kv-lease" => {
                let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1000));
                state.revision += 1;
                let id = state.revision;
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                (200, json!({"lease": id, "ttlMs": ttl.as_millis() as u64}))
            }
            _ if path.starts_with("/-/kv-keep/") => {
                let id = tail.parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, json!({"lease": id, "ttlMs": ttl.as_millis() as u64}))
                    }
                    None => (404, json!({})),
                }
            }
            _ if path.starts_with("/-/kv-lease-end/") => {
                end_lease(&mut state, tail.parse().unwrap_or(0));
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created,
        "lease": item.lease})
}

fn put(state: &mut State, key: &str, value: String, lease: u64) {
    state.revision += 1;
    let revision = state.revision;
    let created = state.items.get(key).map_or(revision, |i| i.created);
    state.items.insert(key.to_owned(), Item { value, revision, created, lease });
}

fn end_lease(state: &mut State, id: u64) {
    if state.leases.remove(&id).is_some() {
        state.revision += 1;
        state.items.retain(|_, i| i.lease != id);
    }
}

fn transact(state: &mut State, body: &Value) -> (u16, Value) {
    let empty = Vec::new();
    let list = |name: &str| body[name].as_array().unwrap_or(&empty).clone();
    let key = |v: &Value| v["key"].as_str().unwrap_or_default().to_owned();
    let holds = |v: &Value| {
        state.items.get(&key(v)).map_or(0, |i| i.revision) == v["revision"].as_u64().unwrap_or(0)
    };
    let expected = list("expected");
    if !expected.iter().all(holds) {
        let items: Vec<Value> = (expected.iter())
            .filter_map(|v| state.items.get(&key(v)).map(|i| row(&key(v), i)))
            .collect();
        return (412, json!({"items": items, "at": state.revision}));
    }
    let lease = |v: &Value| v["lease"].as_u64().unwrap_or(0);
    if list("writes").iter().any(|v| lease(v) != 0 && !state.leases.contains_key(&lease(v))) {
        return (404, json!({}));
    }
    for write in list("writes") {
        put(
            state,
            &key(&write),
            write["value"].as_str().unwrap_or_default().to_owned(),
            lease(&write),
        );
    }
    for removed in list("remove") {
        state.revision += 1;
        state.items.remove(removed.as_str().unwrap_or_default());
    }
    (200, json!({"revision": state.revision}))
}

/// Usage reports by window: the holder and the counts of each.
pub type Reports = Arc<Mutex<BTreeMap<u64, Vec<(String, Value)>>>>;

/// Serves the API for duties; each call is recorded.
pub fn serve_duties(listener: TcpListener, record: Record) -> Reports {
    let reports = Reports::default();
    let kept = reports.clone();
    serve(listener, move |reader, request| {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        if let (true, Some(window)) = (request.path() == "/usage", body["windowId"].as_u64()) {
            let mut reports = kept.lock().expect("not poisoned");
            let holder = request.header("duty-holder").to_owned();
            reports.entry(window).or_default().push((holder, body["counts"].clone()));
        }
        record.line(&format!(
            "duty {} holder={} fence={} {}",
            request.path(),
            request.header("duty-holder"),
            request.header("fence-token"),
            String::from_utf8_lossy(&request.body)
        ));
        respond(&mut reader.io, 200, &[("content-type", "application/json")], "{}")?;
        Ok(true)
    });
    reports
}
