//! Seeded callers, who note what they sent and got.

use {
    super::{
        Entry, Rig,
        records::{CALL, ORGS, key},
    },
    crate::support::{Call, Lost, Reply, answer, ask},
    agate_audit::history::{self, Claim, Ending, Span},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Callers that send one request after another.
const CALLERS: u64 = 8;
/// Time after which a caller gives a reply up; above every deadline.
const PATIENCE: Duration = Duration::from_secs(20);
/// Longest pause between two requests of a caller, in milliseconds.
const PAUSE: u64 = 20;
/// Pause before a booking is sent again.
const RESEND: Duration = Duration::from_millis(150);
/// Times that a booking is sent.
const SENDINGS: u32 = 6;

/// Running callers.
pub struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers; all that they do follows from `seed` and the replies.
    pub fn spawn(rig: &Arc<Rig>, seed: u64) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let run = |number: u64| {
            let (rig, stop) = (rig.clone(), stop.clone());
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number + 1);
            tokio::spawn(async move {
                let mut caller = Caller { rig, number, sent: 0, rng };
                while !stop.load(Ordering::SeqCst) {
                    caller.send_one().await;
                }
            })
        };
        let tasks = (0..CALLERS).map(run).collect();
        Self { stop, tasks }
    }

    /// Waits until every request that was sent has ended.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.expect("callers do not panic");
        }
    }
}

struct Caller {
    rig: Arc<Rig>,
    number: u64,
    sent: u64,
    rng: ChaCha8Rng,
}

impl Caller {
    async fn send_one(&mut self) {
        self.sent += 1;
        let name = format!("c{}-{}", self.number, self.sent);
        match self.rng.random_range(0..10) {
            0..=5 => self.question(&name).await,
            6..=7 => self.lookup(&name).await,
            _ => self.booking(&name).await,
        }
        sleep(Duration::from_millis(self.rng.random_range(0..PAUSE))).await;
    }

    fn org(&self) -> &'static str {
        ORGS[self.number as usize % ORGS.len()]
    }

    async fn question(&mut self, name: &str) {
        let tokens = self.rng.random_range(20..150);
        let stream = self.rng.random_bool(0.7);
        let call = Sending::model(name, self.org(), name, tokens, stream);
        self.send(call).await;
    }

    async fn lookup(&mut self, name: &str) {
        let path = format!("/catalogue/{name}");
        let keyed = self.rng.random_bool(0.5);
        let call = Call::new("GET", &path, "");
        let sending =
            Sending { open: true, expected: path, ..Sending::new(name, self.org(), call) };
        self.send(if keyed { sending } else { sending.unkeyed() }).await;
    }

    async fn booking(&mut self, name: &str) {
        for sending in 0..SENDINGS {
            let call = Call::new("POST", "/orders/1", "slot").header("idempotency-key", name);
            let id = format!("{name}.{sending}");
            let call = Sending {
                booking: Some(name.to_owned()),
                expected: format!("{name} run 1"),
                ..Sending::new(&id, self.org(), call)
            };
            match self.send(call).await {
                Some(Ending::Whole(_)) => return,
                Some(Ending::Refused(code, Claim::NotRun)) if code.starts_with("key") => return,
                _ => sleep(RESEND).await,
            }
        }
    }

    /// Sends through one of the instances that the balancer chooses from.
    async fn send(&mut self, sending: Sending) -> Option<Ending> {
        let entries = self.rig.entries();
        let serving = |e: &&Arc<Entry>| e.serving.load(Ordering::SeqCst);
        let serving: Vec<&Arc<Entry>> = entries.iter().filter(serving).collect();
        if serving.is_empty() {
            return None;
        }
        let entry = serving[self.rng.random_range(0..serving.len())];
        sending.through(&self.rig, entry).await
    }
}

/// One request to be sent.
pub struct Sending {
    id: String,
    key: Option<String>,
    open: bool,
    booking: Option<String>,
    expected: String,
    call: Call,
}

impl Sending {
    fn new(id: &str, org: &str, call: Call) -> Self {
        let key = key(org);
        let call = call.header("authorization", &format!("Bearer {key}")).header(CALL, id);
        let (id, expected) = (id.to_owned(), String::new());
        Self { id, key: Some(key), open: false, booking: None, expected, call }
    }

    /// A model request.
    pub fn model(id: &str, org: &str, text: &str, tokens: u32, stream: bool) -> Self {
        let expected = answer(text, tokens);
        Self { expected, ..Self::new(id, org, ask(text, tokens, stream)) }
    }

    fn unkeyed(self) -> Self {
        Self { key: None, call: self.call.unkeyed(), ..self }
    }

    /// Sends it through an instance and notes how it ended; none if nothing was sent.
    pub async fn through(self, rig: &Rig, entry: &Entry) -> Option<Ending> {
        let from = rig.records.now();
        let ending = match timeout(PATIENCE, self.call.try_send(entry.front.address())).await {
            Ok(Ok(reply)) => ending(&reply),
            Ok(Err(Lost::Unsent)) => return None,
            Ok(Err(Lost::Unanswered)) => Ending::Cut,
            Err(_) => Ending::Open,
        };
        rig.records.called(history::Call {
            id: self.id,
            instance: entry.name.clone(),
            key: self.key,
            open: self.open,
            booking: self.booking,
            expected: self.expected,
            span: Span::new(from, rig.records.now()),
            ending: ending.clone(),
        });
        Some(ending)
    }
}

fn ending(reply: &Reply) -> Ending {
    if !reply.whole {
        return Ending::Cut;
    }
    if !reply.status.is_success() {
        let claim = if reply.run() == "not_run" { Claim::NotRun } else { Claim::Unknown };
        return Ending::Refused(reply.code(), claim);
    }
    Ending::Whole(content(reply))
}

/// The part of a successful reply that depends on its request alone.
fn content(reply: &Reply) -> String {
    let json = reply.json();
    if let Some(booking) = json["booking"].as_str() {
        return format!("{booking} run {}", json["run"]);
    }
    if let Some(path) = json["path"].as_str() {
        return path.to_owned();
    }
    let stream = reply.body.starts_with("data: ");
    if stream && !reply.ended() {
        return format!("without its end: {}", reply.body);
    }
    reply.text()
}
