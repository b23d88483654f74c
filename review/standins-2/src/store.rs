//! The platform's metadata store and its API for orders and usage reports.

use {
    crate::http::{self, Message},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Debug, Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    /// Number of times that the store came back from a copy, plus one.
    era: u64,
    /// Whether the store is away: it closes each connection that a call comes over.
    away: bool,
}

/// Copy of the store, from which it can come back.
pub struct Copy(Data);

impl Data {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, end)| *end > now);
        let leases = &self.leases;
        self.items.retain(|_, i| i.lease == 0 || leases.contains_key(&i.lease));
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
    }
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    /// Address of the store.
    pub address: SocketAddr,
    /// Address of the API for orders and usage reports.
    pub orders: SocketAddr,
}

impl Store {
    /// Starts both on free ports.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let orders = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = |l: &TcpListener| l.local_addr().expect("an address");
        let data = Data { revision: 100, era: 1, ..Data::default() };
        let store = Self {
            data: Arc::new(Mutex::new(data)),
            address: address(&listener),
            orders: address(&orders),
        };
        let own = store.clone();
        thread::spawn(move || {
            http::serve(listener, move |mut reader, mut writer| {
                loop {
                    let request = http::read_request(&mut reader)?;
                    let Some((status, body, era)) = own.respond(&request) else { return Ok(()) };
                    let (body, era) = (body.to_string(), era.to_string());
                    let headers =
                        [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
                    writer.write_all(&http::response(status, &headers, body.as_bytes()))?;
                }
            })
        });
        thread::spawn(move || {
            http::serve(orders, move |mut reader, mut writer| {
                loop {
                    http::read_request(&mut reader)?;
                    writer.write_all(&http::response(200, &[], b""))?;
                }
            })
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let mut data = self.data.lock().expect("not poisoned");
        data.expire();
        data
    }

    /// Writes what the operator or a worker writes.
    pub fn put(&self, key: &str, value: &Value) {
        self.lock().put(key, value.to_string().into_bytes(), 0);
    }

    /// Lets the store be away, or return as it was.
    pub fn set_away(&self, away: bool) {
        self.lock().away = away;
    }

    /// Copies the store.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Returns from `copy`, which begins the next era: all that was written since is gone, leases too. Returns
    /// what operators and workers had written since, which they write again.
    pub fn come_back(&self, copy: Copy) -> Vec<(String, Value)> {
        let mut data = self.lock();
        let theirs = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let newer = data.items.iter().filter(|(key, item)| {
            theirs(key) && copy.0.items.get(*key).is_none_or(|old| old.value != item.value)
        });
        let parse = |item: &Item| serde_json::from_slice(&item.value).unwrap_or_default();
        let newer = newer.map(|(key, item)| (key.clone(), parse(item))).collect();
        let now = Instant::now();
        let mut next = copy.0;
        next.leases.values_mut().for_each(|(ttl, end)| *end = now + *ttl);
        next.era = data.era + 1;
        *data = next;
        newer
    }

    /// Status, body and era of the response; `None` while the store is away.
    fn respond(&self, request: &Message) -> Option<(u16, Value, u64)> {
        let mut data = self.lock();
        if data.away {
            return None;
        }
        let era = data.era;
        let (status, body) = answer(&mut data, request);
        Some((status, body, era))
    }
}

fn answer(data: &mut Data, request: &Message) -> (u16, Value) {
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let path = request.path();
    match path {
        "/-/kv-key" => {
            let key = request.query("key");
            match data.items.get(&key) {
                Some(item) => {
                    let mut shown = shown(&key, item);
                    shown["at"] = data.revision.into();
                    (200, shown)
                }
                None => (404, json!({})),
            }
        }
        "/-/kv-range" => {
            let (prefix, after) = (request.query("prefix"), request.query("after"));
            let fits = |key: &str| key.starts_with(&prefix) && (after.is_empty() || *key > *after);
            let items = data.items.iter().filter(|(k, _)| fits(k));
            let items: Vec<Value> = items.map(|(k, i)| shown(k, i)).collect();
            (200, json!({"items": items, "truncated": false, "at": data.revision}))
        }
        "/-/kv-txn" => transact(data, &body),
        "/-/kv-lease" => {
            let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1000).max(1000));
            data.revision += 1;
            let lease = data.revision;
            data.leases.insert(lease, (ttl, Instant::now() + ttl));
            (200, json!({"lease": lease, "ttlMs": ttl.as_millis() as u64}))
        }
        // What workers write of themselves.
        _ if request.method() == "PUT" && path.starts_with("/servers/") => {
            data.put(&path[1..], request.body.clone(), 0);
            (200, json!({}))
        }
        _ => {
            let lease = path.rsplit('/').next().and_then(|l| l.parse().ok()).unwrap_or(0);
            if path.starts_with("/-/kv-lease-end/") {
                data.leases.remove(&lease);
                data.expire();
                return (200, json!({}));
            }
            match data.leases.get_mut(&lease) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    (200, json!({"ttlMs": ttl.as_millis() as u64}))
                }
                None => (404, json!({})),
            }
        }
    }
}

fn shown(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created": item.created, "lease": item.lease})
}

fn transact(data: &mut Data, body: &Value) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let key = |row: &Value| row["key"].as_str().unwrap_or_default().to_owned();
    let expected = rows("expected");
    let holds = |row: &Value| {
        let known = data.items.get(&key(row)).map_or(0, |i| i.revision);
        row["revision"].as_u64() == Some(known)
    };
    if !expected.iter().all(holds) {
        let items =
            expected.iter().filter_map(|r| data.items.get(&key(r)).map(|i| shown(&key(r), i)));
        return (412, json!({"items": items.collect::<Vec<_>>()}));
    }
    let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
    if rows("writes").iter().any(|r| lease(r) != 0 && !data.leases.contains_key(&lease(r))) {
        return (404, json!({}));
    }
    for row in rows("writes") {
        let value = STANDARD.decode(row["value"].as_str().unwrap_or_default()).unwrap_or_default();
        data.put(&key(&row), value, lease(&row));
    }
    for removed in rows("remove") {
        data.items.remove(removed.as_str().unwrap_or_default());
        data.revision += 1;
    }
    (200, json!({"revision": data.revision}))
}
