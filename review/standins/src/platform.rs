//! The platform's store and its interface for duties.

use {
    crate::{
        http::{self, Request},
        json::{self, Json, from_base64, quote, to_base64},
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
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

#[derive(Default)]
pub struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    last_lease: u64,
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(l, _)| *l).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, i)| i.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }

    pub fn put(&mut self, key: &str, value: &[u8], lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value: value.to_vec(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    pub fn remove(&mut self, key: &str) -> u64 {
        if self.items.remove(key).is_some() {
            self.revision += 1;
        }
        self.revision
    }
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Serves machines; returns the address for their settings.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            while let Ok((io, _)) = listener.accept() {
                let store = store.clone();
                thread::spawn(move || store.connection(io));
            }
        });
        address
    }

    fn connection(&self, io: TcpStream) {
        let _ = io.set_nodelay(true);
        let Ok(mut out) = io.try_clone() else { return };
        let mut io = BufReader::new(io);
        while let Ok(request) = http::read_request(&mut io) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if out.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            let found =
                query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
            found.map(|(_, v)| unescape(v)).unwrap_or_default()
        };
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let at = state.revision;
        let show = |key: &str, item: &Item| {
            let value = to_base64(&item.value);
            format!(
                "{{\"key\":{},\"value\":\"{value}\",\"revision\":{},\"created\":{},\"lease\":{},\"at\":{at}}}",
                quote(key),
                item.revision,
                item.created,
                item.lease
            )
        };
        match (request.method.as_str(), path) {
            ("GET", "/-/kv-key") => {
                let key = field("key");
                match state.items.get(&key) {
                    Some(item) => (200, show(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (field("prefix"), field("after"));
                let found = state.items.iter();
                let found = found.filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = found.map(|(k, i)| show(k, i)).collect();
                (
                    200,
                    format!("{{\"items\":[{}],\"truncated\":false,\"at\":{at}}}", items.join(",")),
                )
            }
            ("POST", "/-/kv-txn") => transaction(&mut state, &body, show),
            ("POST", "/-/kv-lease") => {
                let ttl = Duration::from_millis(body.number("ttlMs").clamp(1_000, 600_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                match id.and_then(|id| state.leases.get_mut(&id)) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                if let Some((_, end)) = id.and_then(|id| state.leases.get_mut(&id)) {
                    *end = Instant::now();
                }
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }
}

fn transaction(
    state: &mut State,
    body: &Json,
    show: impl Fn(&str, &Item) -> String,
) -> (u16, String) {
    let own = |key: &str| !key.starts_with("op/") && !key.starts_with("servers/");
    let expected = body.list("expected");
    let holds = |row: &Json| {
        let found = state.items.get(&row.text("key")).map_or(0, |i| i.revision);
        found == row.number("revision")
    };
    if !expected.iter().all(holds) {
        let rows = expected.iter().map(|row| row.text("key"));
        let items: Vec<String> =
            rows.filter_map(|key| state.items.get(&key).map(|i| show(&key, i))).collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let writes = body.list("writes");
    if writes.iter().any(|w| !own(&w.text("key"))) {
        return (403, "{}".into());
    }
    let lease_gone =
        |w: &Json| w.number("lease") != 0 && !state.leases.contains_key(&w.number("lease"));
    if writes.iter().any(lease_gone) {
        return (404, "{}".into());
    }
    let mut revision = state.revision;
    for write in writes {
        revision = state.put(
            &write.text("key"),
            &from_base64(&write.text("value")),
            write.number("lease"),
        );
    }
    for key in body.list("remove") {
        if let Json::Text(key) = key {
            revision = state.remove(key);
        }
    }
    (200, format!("{{\"revision\":{revision}}}"))
}

fn unescape(text: &str) -> String {
    let (mut out, mut bytes) = (Vec::new(), text.bytes());
    while let Some(b) = bytes.next() {
        if b == b'%' {
            let hex: Vec<u8> = bytes.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            out.push(b);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Accepts all duties; returns its address.
pub fn cloud() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        while let Ok((io, _)) = listener.accept() {
            thread::spawn(move || {
                let Ok(mut out) = io.try_clone() else { return };
                let mut io = BufReader::new(io);
                while http::read_request(&mut io).is_ok() {
                    if out.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
