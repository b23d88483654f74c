//! Workers of a plain service, as the pages describe them.

use {
    crate::{
        Record,
        http::{Message, Reader, respond, serve},
        platform::Store,
    },
    serde_json::json,
    std::{
        io,
        net::TcpListener,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        thread,
        time::{Duration, Instant, SystemTime},
    },
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(60);
/// Time between two writes of an entry (`beatMs`).
const BEAT: Duration = Duration::from_millis(1200);

/// One worker.
pub struct Worker {
    pub name: String,
    service: String,
    zone: String,
    address: String,
    born: u64,
    /// Whether it leaves: it writes its entry no more.
    leaving: AtomicBool,
    seq: AtomicU64,
    record: Record,
    store: Store,
    /// Requests that reached it.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
}

/// Present time of day in milliseconds since 1970.
pub fn millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.expect("a time after 1970").as_millis() as u64
}

impl Worker {
    /// Starts a worker, which writes its entry from then on.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("bound").to_string(),
            born: millis(),
            leaving: AtomicBool::new(false),
            seq: AtomicU64::new(1),
            record: record.clone(),
            store: store.clone(),
            arrivals: Mutex::default(),
        });
        let serving = worker.clone();
        serve(listener, move |reader, request| serving.handle(reader, &request));
        let beating = worker.clone();
        thread::spawn(move || {
            while !beating.leaving.load(SeqCst) {
                beating.register();
                thread::sleep(BEAT);
            }
        });
        worker
    }

    fn register(&self) {
        let entry = json!({"service": self.service, "address": self.address, "zone": self.zone,
            "version": "1.4.0", "slots": 6, "state": "ready", "coldLeftMs": 0,
            "seq": self.seq.fetch_add(1, SeqCst), "born": self.born});
        self.store.put(&format!("servers/{}", self.name), &entry);
    }

    /// Leaves without a report: its entry is removed, and it goes on serving.
    pub fn leave_unreported(&self) {
        self.leaving.store(true, SeqCst);
        self.store.remove(&format!("servers/{}", self.name));
        self.record.line(&format!(
            "worker {} leaves: its entry is removed, it goes on serving",
            self.name
        ));
    }

    /// Removes its entry again, which a store that came back from a copy has again.
    pub fn remove_again(&self) {
        self.store.remove(&format!("servers/{}", self.name));
        self.record.line(&format!("worker {} removes its entry again", self.name));
    }

    fn handle(&self, reader: &mut Reader, request: &Message) -> io::Result<bool> {
        let id = request.header("request-id");
        let expected = request.header("expect-instance");
        let leaving = self.leaving.load(SeqCst);
        let mut fields = vec![("request-id", id)];
        if leaving {
            fields.extend([("server-leaving", "1"), ("connection", "close")]);
        }
        if !expected.is_empty() && expected != self.name {
            fields.push(("not-executed", "1"));
            respond(&mut reader.io, 421, &fields, "")?;
            return Ok(!leaving);
        }
        if request.path() == "/health" {
            fields.push(("instance-id", &self.name));
            respond(&mut reader.io, if leaving { 503 } else { 200 }, &fields, "")?;
            return Ok(!leaving);
        }
        self.arrivals.lock().expect("not poisoned").push((Instant::now(), id.to_owned()));
        if leaving {
            self.record
                .line(&format!("worker {} runs id={id}, though its entry was removed", self.name));
        }
        thread::sleep(WORK);
        let seal = format!("3e1b.{id}");
        fields.push(("response-seal", &seal));
        respond(&mut reader.io, 200, &fields, "the worker's body")?;
        Ok(!leaving)
    }
}
