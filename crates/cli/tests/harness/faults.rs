//! Faults: each is injected, takes effect, and is then removed.

use {
    super::{
        Harness, INSTANCES, TestInstance,
        clients::TestRequest,
        recorder::{CALL, ORGS, SALT},
    },
    crate::support::wait_until,
    agate_audit::history::{FaultScope, STORE, Time},
    agate_config::freshness::ConfigFreshness,
    agate_standin::{Engine, engine::RunState},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Text of the request that crashes engines.
const POISON: &str = "poison";
/// Number of times that the crashing request is sent.
const POISON_SENDS: usize = 4;
/// Number of responses that must come through an instance during a fault.
const MIN_RESPONSES: usize = 15;
/// Tokens of a stream that a graceful stop must wait for.
const STREAM_TOKENS: u32 = 600;
/// Number of the platform's responses that are lost.
const LOST_ACKS: u32 = 8;

/// A fault, or a planned change that must not cause errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An instance is killed and another one started.
    Kill,
    /// All instances are replaced one by one.
    Replace,
    /// The store is down until no instance has a recent freshness proof.
    Outage,
    /// Responses of the platform are lost after their requests took effect.
    LoseResponses,
    /// One instance loses its connection to the platform.
    DisconnectStore,
    /// An instance is replaced by one that cannot communicate with the others.
    DisconnectPeers,
    /// An organisation's key is revoked while its streams run.
    RevokeKey,
    /// A busy engine is listed as leaving.
    RemoveEndpoint,
    /// A busy engine crashes.
    CrashEngine,
    /// A request crashes engines and is sent again by its client.
    CrashingRequest,
    /// Every open connection to endpoints and the platform stalls; new ones work.
    StallConnections,
}

impl InjectedFault {
    /// All faults.
    pub const ALL: [InjectedFault; 11] = [
        InjectedFault::Kill,
        InjectedFault::Replace,
        InjectedFault::Outage,
        InjectedFault::LoseResponses,
        InjectedFault::DisconnectStore,
        InjectedFault::DisconnectPeers,
        InjectedFault::RevokeKey,
        InjectedFault::RemoveEndpoint,
        InjectedFault::CrashEngine,
        InjectedFault::CrashingRequest,
        InjectedFault::StallConnections,
    ];

    /// Injects the fault, waits for its effect, removes it and returns. Random choices depend on
    /// `seed` and the running instances.
    pub async fn run(self, harness: &Arc<Harness>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(100 + self as u64);
        match self {
            InjectedFault::Kill => replace_killed(harness, &mut rng, true).await,
            InjectedFault::DisconnectPeers => replace_killed(harness, &mut rng, false).await,
            InjectedFault::Replace => replace_all(harness).await,
            InjectedFault::Outage => store_outage(harness).await,
            InjectedFault::LoseResponses => lose_responses(harness).await,
            InjectedFault::DisconnectStore => disconnect_store(harness, &mut rng).await,
            InjectedFault::RevokeKey => revoke_key(harness).await,
            InjectedFault::RemoveEndpoint => remove_endpoint(harness).await,
            InjectedFault::CrashEngine => crash_engine(harness).await,
            InjectedFault::CrashingRequest => crash_by_request(harness, &mut rng).await,
            InjectedFault::StallConnections => stall_connections(harness).await,
        }
    }
}

fn choose_instance(harness: &Harness, rng: &mut ChaCha8Rng) -> Arc<TestInstance> {
    let instances = harness.instances();
    instances[rng.random_range(0..instances.len())].clone()
}

async fn replace_killed(harness: &Arc<Harness>, rng: &mut ChaCha8Rng, joined: bool) {
    let instance = choose_instance(harness, rng);
    wait_until("the instance is busy", || instance.proxy_state.flight.open() > 0).await;
    harness.kill(&instance);
    let instance = harness.start_instance(joined).await;
    wait_for_responses(harness, &instance).await;
}

async fn replace_all(harness: &Arc<Harness>) {
    for instance in harness.instances().into_iter().take(INSTANCES) {
        // A concurrent fault may have killed it.
        if harness.instances().iter().any(|e| e.name == instance.name) {
            harness.start_instance(true).await;
            let held = start_stream(harness, &instance).await;
            harness.stop(&instance).await;
            held.await.expect("callers do not panic");
        }
    }
}

/// Starts a stream through an instance that lasts longer than a stopping instance accepts new
/// requests.
async fn start_stream(harness: &Arc<Harness>, instance: &Arc<TestInstance>) -> JoinHandle<()> {
    let id = format!("held-{}", instance.name);
    let ran = {
        let (harness, id) = (harness.clone(), id.clone());
        move || harness.engines.values().any(|e| e.log().iter().any(|r| has_id(&r.headers, &id)))
    };
    let (harness, instance) = (harness.clone(), instance.clone());
    let held = tokio::spawn(async move {
        let sending = TestRequest::model(&id, ORGS[0], &id, STREAM_TOKENS, true);
        sending.send_through(&harness, &instance).await;
    });
    wait_until("the stream runs", || ran() || held.is_finished()).await;
    held
}

fn has_id(headers: &http::HeaderMap, id: &str) -> bool {
    headers.get(CALL).is_some_and(|v| v.as_bytes() == id.as_bytes())
}

async fn store_outage(harness: &Arc<Harness>) {
    let number = harness.recorder.begin_fault(STORE, FaultScope::Whole, "outage");
    harness.platform.set(|f| f.outage = true);
    let old = |e: &Arc<TestInstance>| e.config_standing() != Some(ConfigFreshness::Fresh);
    wait_until("no instance has a recent proof", || harness.instances().iter().all(old)).await;
    let instances = harness.instances();
    wait_for_responses(harness, &instances[0]).await;
    harness.platform.set(|f| f.outage = false);
    harness.recorder.end_fault(number);
}

async fn lose_responses(harness: &Arc<Harness>) {
    let number = harness.recorder.begin_fault(STORE, FaultScope::Whole, "lost responses");
    harness.platform.set(|f| f.lose_acks = LOST_ACKS);
    let left = || {
        let mut left = 0;
        harness.platform.set(|f| left = f.lose_acks);
        left
    };
    wait_until("the responses are lost", || left() == 0).await;
    harness.recorder.end_fault(number);
}

async fn disconnect_store(harness: &Arc<Harness>, rng: &mut ChaCha8Rng) {
    let instance = choose_instance(harness, rng);
    let number = harness.recorder.begin_fault(&instance.name, FaultScope::Store, "no platform");
    let silent = rng.random_bool(0.5);
    match silent {
        true => instance.platform_proxy.set(|f| f.stall = true),
        false => instance.platform_proxy.refuse(),
    }
    // The holder of a lease must have given it up.
    let gone = || !harness.instances().iter().any(|e| e.name == instance.name);
    wait_until("it holds no lease", || gone() || !instance.usage.is_holder()).await;
    wait_for_responses(harness, &instance).await;
    instance.platform_proxy.set(|f| f.stall = false);
    instance.platform_proxy.accept();
    harness.recorder.end_fault(number);
}

/// Waits until an instance has given some more responses, refuses because of its old configuration,
/// or is gone.
async fn wait_for_responses(harness: &Harness, instance: &TestInstance) {
    let before = harness.recorder.count_responses(&instance.name);
    let enough = || {
        let gone = !harness.instances().iter().any(|e| e.name == instance.name);
        gone || instance.config_standing() == Some(ConfigFreshness::Stale)
            || harness.recorder.count_responses(&instance.name) >= before + MIN_RESPONSES
    };
    wait_until("the instance responds", enough).await;
}

async fn revoke_key(harness: &Arc<Harness>) {
    let org = *ORGS.last().expect("there are some");
    wait_until("its streams run", || harness.engines.values().any(|e| runs_stream_of(e, org)))
        .await;
    let from = harness.recorder.now();
    let generation = harness.publish(|d| d.organisations[org].keys.clear()).await;
    harness.recorder.record_revocation(org);
    let known = |e: &Arc<TestInstance>| e.proxy_state.current.load().generation >= generation;
    wait_until("it is in force", || harness.instances().iter().all(known)).await;
    harness.recorder.record_change("revocation".into(), from);
    wait_for_calls_after(harness, harness.recorder.bounds().revocation).await;
}

/// Whether a stream of an organisation runs at an engine.
fn runs_stream_of(engine: &Engine, org: &str) -> bool {
    let told = |v: &http::HeaderValue| v.as_bytes() == org.as_bytes();
    let log = engine.log();
    log.iter().any(|r| r.state == RunState::Running && r.headers.get(SALT).is_some_and(told))
}

/// Waits until every instance has finished calls that began more than `bound` from now.
async fn wait_for_calls_after(harness: &Arc<Harness>, bound: Duration) {
    let from: Time = harness.recorder.now() + bound;
    let late = |e: &Arc<TestInstance>| {
        let seen = harness.recorder.history();
        seen.calls.iter().any(|c| c.instance == e.name && c.span.from > from)
    };
    wait_until("calls were sent after the bound", || harness.instances().iter().all(late)).await;
}

fn busiest_engine(harness: &Harness) -> Option<(&String, &Engine)> {
    harness
        .engines
        .iter()
        .max_by_key(|(_, e)| e.load().running)
        .filter(|(_, e)| e.load().running > 0)
}

async fn remove_endpoint(harness: &Arc<Harness>) {
    wait_until("an engine is busy", || busiest_engine(harness).is_some()).await;
    let Some((name, engine)) = busiest_engine(harness) else { return };
    harness.recorder.record_leaving(name);
    let from = harness.recorder.now();
    harness.mark_leaving(name, engine.address());
    wait_for_calls_after(harness, harness.recorder.bounds().leaving).await;
    harness.recorder.record_change("leaving".into(), from);
}

async fn crash_engine(harness: &Arc<Harness>) {
    wait_until("an engine is busy", || busiest_engine(harness).is_some()).await;
    let Some((name, engine)) = busiest_engine(harness) else { return };
    let number = harness.recorder.begin_fault(name, FaultScope::Whole, "crash");
    engine.crash();
    wait_until_accepting(engine.address()).await;
    harness.recorder.end_fault(number);
}

async fn wait_until_accepting(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn crash_by_request(harness: &Arc<Harness>, rng: &mut ChaCha8Rng) {
    let crashes = || harness.engines.values().map(|e| e.crashes()).collect::<Vec<_>>();
    let before = crashes();
    let fault =
        |name: &String| harness.recorder.begin_fault(name, FaultScope::Whole, "crashing request");
    let numbers: Vec<usize> = harness.engines.keys().map(fault).collect();
    harness.engines.values().for_each(|e| e.set(|f| f.crash_text = Some(POISON.into())));
    for i in 0..POISON_SENDS {
        let instance = choose_instance(harness, rng);
        let sending = TestRequest::model(&format!("poison-{i}"), ORGS[0], POISON, 10, i % 2 == 0);
        sending.send_through(harness, &instance).await;
    }
    harness.engines.values().for_each(|e| e.set(|f| f.crash_text = None));
    assert_ne!(crashes(), before, "no engine crashed");
    for (number, engine) in numbers.into_iter().zip(harness.engines.values()) {
        wait_until_accepting(engine.address()).await;
        harness.recorder.end_fault(number);
    }
}

async fn stall_connections(harness: &Arc<Harness>) {
    for (name, engine) in &harness.engines {
        harness.recorder.begin_fault(name, FaultScope::Whole, "silent connections");
        engine.proxy().stall_open();
    }
    for (name, service) in &harness.services {
        harness.recorder.begin_fault(name, FaultScope::Whole, "silent connections");
        service.proxy().stall_open();
    }
    for instance in harness.instances() {
        harness.recorder.begin_fault(&instance.name, FaultScope::Store, "silent connections");
        instance.platform_proxy.stall_open();
    }
    for instance in harness.instances() {
        wait_for_responses(harness, &instance).await;
    }
}
