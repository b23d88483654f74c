//! Clients with seeded random requests, which record what they sent and received.

use {
    super::{
        Harness, TestInstance,
        recorder::{CALL, ORGS, key},
    },
    crate::support::{ClientResponse, HttpRequest, SendError, expected_text, model_request},
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

/// Number of clients, each of which sends one request after another.
const CLIENT_COUNT: u64 = 8;
/// Time after which a client abandons a request; longer than every deadline.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum pause between two requests of a client, in milliseconds.
const MAX_PAUSE: u64 = 20;
/// Delay before a booking is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of times that a booking is sent.
const MAX_SENDS: u32 = 6;

/// Running clients.
pub struct Clients {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients; their requests depend only on `seed` and the responses.
    pub fn spawn(harness: &Arc<Harness>, seed: u64) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let run = |number: u64| {
            let (harness, stop) = (harness.clone(), stop.clone());
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number + 1);
            tokio::spawn(async move {
                let mut client = Client { harness, number, sent: 0, rng };
                while !stop.load(Ordering::SeqCst) {
                    client.send_one().await;
                }
            })
        };
        let tasks = (0..CLIENT_COUNT).map(run).collect();
        Self { stop, tasks }
    }

    /// Stops the clients and waits until every request has ended.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.expect("callers do not panic");
        }
    }
}

struct Client {
    harness: Arc<Harness>,
    number: u64,
    sent: u64,
    rng: ChaCha8Rng,
}

impl Client {
    async fn send_one(&mut self) {
        self.sent += 1;
        let name = format!("c{}-{}", self.number, self.sent);
        match self.rng.random_range(0..10) {
            0..=5 => self.send_question(&name).await,
            6..=7 => self.send_lookup(&name).await,
            _ => self.send_booking(&name).await,
        }
        sleep(Duration::from_millis(self.rng.random_range(0..MAX_PAUSE))).await;
    }

    fn org(&self) -> &'static str {
        ORGS[self.number as usize % ORGS.len()]
    }

    async fn send_question(&mut self, name: &str) {
        let tokens = self.rng.random_range(20..150);
        let stream = self.rng.random_bool(0.7);
        let call = TestRequest::model(name, self.org(), name, tokens, stream);
        self.send(call).await;
    }

    async fn send_lookup(&mut self, name: &str) {
        let path = format!("/catalogue/{name}");
        let keyed = self.rng.random_bool(0.5);
        let call = HttpRequest::new("GET", &path, "");
        let sending =
            TestRequest { open: true, expected: path, ..TestRequest::new(name, self.org(), call) };
        self.send(if keyed { sending } else { sending.without_key() }).await;
    }

    async fn send_booking(&mut self, name: &str) {
        for sending in 0..MAX_SENDS {
            let call =
                HttpRequest::new("POST", "/orders/1", "slot").header("idempotency-key", name);
            let id = format!("{name}.{sending}");
            let call = TestRequest {
                booking: Some(name.to_owned()),
                expected: format!("{name} run 1"),
                ..TestRequest::new(&id, self.org(), call)
            };
            match self.send(call).await {
                Some(Ending::Whole(_)) => return,
                Some(Ending::Refused(code, Claim::NotRun)) if code.starts_with("key") => return,
                _ => sleep(RESEND_DELAY).await,
            }
        }
    }

    /// Sends a request to one of the instances that receive requests.
    async fn send(&mut self, sending: TestRequest) -> Option<Ending> {
        let instances = self.harness.instances();
        let routed = |e: &&Arc<TestInstance>| e.routed.load(Ordering::SeqCst);
        let routed: Vec<&Arc<TestInstance>> = instances.iter().filter(routed).collect();
        if routed.is_empty() {
            return None;
        }
        let instance = routed[self.rng.random_range(0..routed.len())];
        sending.send_through(&self.harness, instance).await
    }
}

/// One request with its expected response.
pub struct TestRequest {
    id: String,
    key: Option<String>,
    open: bool,
    booking: Option<String>,
    expected: String,
    call: HttpRequest,
}

impl TestRequest {
    fn new(id: &str, org: &str, call: HttpRequest) -> Self {
        let key = key(org);
        let call = call.header("authorization", &format!("Bearer {key}")).header(CALL, id);
        let (id, expected) = (id.to_owned(), String::new());
        Self { id, key: Some(key), open: false, booking: None, expected, call }
    }

    /// A model request.
    pub fn model(id: &str, org: &str, text: &str, tokens: u32, stream: bool) -> Self {
        let expected = expected_text(text, tokens);
        Self { expected, ..Self::new(id, org, model_request(text, tokens, stream)) }
    }

    fn without_key(self) -> Self {
        Self { key: None, call: self.call.without_key(), ..self }
    }

    /// Sends the request to an instance and records its outcome; `None` if no connection could be
    /// opened.
    pub async fn send_through(self, harness: &Harness, instance: &TestInstance) -> Option<Ending> {
        let from = harness.recorder.now();
        let ending =
            match timeout(RESPONSE_TIMEOUT, self.call.try_send(instance.client_proxy.address()))
                .await
            {
                Ok(Ok(response)) => outcome_of(&response),
                Ok(Err(SendError::NotConnected)) => return None,
                Ok(Err(SendError::NoResponse)) => Ending::Cut,
                Err(_) => Ending::Open,
            };
        harness.recorder.record_call(history::Call {
            id: self.id,
            instance: instance.name.clone(),
            key: self.key,
            open: self.open,
            idempotency_key: self.booking,
            expected: self.expected,
            span: Span::new(from, harness.recorder.now()),
            ending: ending.clone(),
        });
        Some(ending)
    }
}

fn outcome_of(response: &ClientResponse) -> Ending {
    if !response.complete {
        return Ending::Cut;
    }
    if !response.status.is_success() {
        let claim = if response.run() == "not_run" { Claim::NotRun } else { Claim::Unknown };
        return Ending::Refused(response.code(), claim);
    }
    Ending::Whole(response_content(response))
}

/// The part of a successful response that depends only on its request.
fn response_content(response: &ClientResponse) -> String {
    let json = response.json();
    if let Some(booking) = json["booking"].as_str() {
        return format!("{booking} run {}", json["run"]);
    }
    if let Some(path) = json["path"].as_str() {
        return path.to_owned();
    }
    let stream = response.body.starts_with("data: ");
    if stream && !response.is_complete_stream() {
        return format!("without its end: {}", response.body);
    }
    response.text()
}
