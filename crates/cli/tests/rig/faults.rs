//! Faults, each of which strikes, waits until it was felt, and heals.

use {
    super::{
        Entry, INSTANCES, Rig,
        callers::Sending,
        records::{CALL, ORGS, SALT},
    },
    crate::support::until,
    agate_audit::history::{Part, STORE, Time},
    agate_config::freshness::Standing,
    agate_standin::{Engine, engine::RunState},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Text of the request that crashes engines.
const POISON: &str = "poison";
/// Times that the caller of the crashing request sends it.
const RESENDS: usize = 4;
/// Answers that must come through each instance while a part is struck.
const ANSWERS: usize = 15;
/// Tokens of a stream that a stop must wait for.
const HELD_TOKENS: u32 = 600;
/// Acknowledgements of the platform that are lost.
const LOST_ACKS: u32 = 8;

/// Something that goes wrong, or is planned and must go right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// An instance is killed and another one started.
    Kill,
    /// All instances are replaced one by one.
    Replace,
    /// The store is down for all until no instance has a recent proof.
    Outage,
    /// The platform's answers are lost after taking effect.
    LostAcks,
    /// An instance loses the platform.
    CutStore,
    /// An instance is replaced by one that the others do not hear.
    CutPeers,
    /// The key of an organisation is withdrawn while its streams run.
    Withdraw,
    /// A busy engine is listed as leaving.
    Leave,
    /// A busy engine crashes.
    Crash,
    /// A request crashes engines, and its caller sends it again.
    Poison,
    /// Every connection to endpoints and to the platform goes silent; new ones work.
    Silence,
}

impl Strike {
    /// All of them.
    pub const ALL: [Strike; 11] = [
        Strike::Kill,
        Strike::Replace,
        Strike::Outage,
        Strike::LostAcks,
        Strike::CutStore,
        Strike::CutPeers,
        Strike::Withdraw,
        Strike::Leave,
        Strike::Crash,
        Strike::Poison,
        Strike::Silence,
    ];

    /// Strikes once and returns when it is healed; what it chooses follows from `seed` and from
    /// what runs.
    pub async fn run(self, rig: &Arc<Rig>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(100 + self as u64);
        match self {
            Strike::Kill => kill(rig, &mut rng, true).await,
            Strike::CutPeers => kill(rig, &mut rng, false).await,
            Strike::Replace => replace(rig).await,
            Strike::Outage => outage(rig).await,
            Strike::LostAcks => lose_acks(rig).await,
            Strike::CutStore => cut_store(rig, &mut rng).await,
            Strike::Withdraw => withdraw(rig).await,
            Strike::Leave => leave(rig).await,
            Strike::Crash => crash(rig).await,
            Strike::Poison => poison(rig, &mut rng).await,
            Strike::Silence => silence(rig).await,
        }
    }
}

fn choose(rig: &Rig, rng: &mut ChaCha8Rng) -> Arc<Entry> {
    let entries = rig.entries();
    entries[rng.random_range(0..entries.len())].clone()
}

async fn kill(rig: &Arc<Rig>, rng: &mut ChaCha8Rng, joined: bool) {
    let entry = choose(rig, rng);
    until("the instance is busy", || entry.gate.flight.open() > 0).await;
    rig.kill(&entry);
    let entry = rig.add(joined).await;
    answered(rig, &entry).await;
}

async fn replace(rig: &Arc<Rig>) {
    for entry in rig.entries().into_iter().take(INSTANCES) {
        // Another fault may have ended it.
        if rig.entries().iter().any(|e| e.name == entry.name) {
            rig.add(true).await;
            let held = hold(rig, &entry).await;
            rig.stop(&entry).await;
            held.await.expect("callers do not panic");
        }
    }
}

/// Starts a stream through an instance that outlasts the time in which a stopping instance still
/// takes new requests.
async fn hold(rig: &Arc<Rig>, entry: &Arc<Entry>) -> JoinHandle<()> {
    let id = format!("held-{}", entry.name);
    let ran = {
        let (rig, id) = (rig.clone(), id.clone());
        move || rig.engines.values().any(|e| e.log().iter().any(|r| names(&r.headers, &id)))
    };
    let (rig, entry) = (rig.clone(), entry.clone());
    let held = tokio::spawn(async move {
        let sending = Sending::model(&id, ORGS[0], &id, HELD_TOKENS, true);
        sending.through(&rig, &entry).await;
    });
    until("the stream runs", || ran() || held.is_finished()).await;
    held
}

fn names(headers: &http::HeaderMap, id: &str) -> bool {
    headers.get(CALL).is_some_and(|v| v.as_bytes() == id.as_bytes())
}

async fn outage(rig: &Arc<Rig>) {
    let number = rig.records.fault(STORE, Part::Whole, "outage");
    rig.platform.set(|f| f.outage = true);
    let old = |e: &Arc<Entry>| e.standing() != Some(Standing::Fresh);
    until("no instance has a recent proof", || rig.entries().iter().all(old)).await;
    let entries = rig.entries();
    answered(rig, &entries[0]).await;
    rig.platform.set(|f| f.outage = false);
    rig.records.healed(number);
}

async fn lose_acks(rig: &Arc<Rig>) {
    let number = rig.records.fault(STORE, Part::Whole, "lost answers");
    rig.platform.set(|f| f.lose_acks = LOST_ACKS);
    let left = || {
        let mut left = 0;
        rig.platform.set(|f| left = f.lose_acks);
        left
    };
    until("the answers are lost", || left() == 0).await;
    rig.records.healed(number);
}

async fn cut_store(rig: &Arc<Rig>, rng: &mut ChaCha8Rng) {
    let entry = choose(rig, rng);
    let number = rig.records.fault(&entry.name, Part::Store, "no platform");
    let silent = rng.random_bool(0.5);
    match silent {
        true => entry.back.set(|f| f.stall = true),
        false => entry.back.refuse(),
    }
    // A holder of the lease must have given it up.
    let gone = || !rig.entries().iter().any(|e| e.name == entry.name);
    until("it holds no lease", || gone() || !entry.usage.is_holder()).await;
    answered(rig, &entry).await;
    entry.back.set(|f| f.stall = false);
    entry.back.admit();
    rig.records.healed(number);
}

/// Waits until an instance gave some more answers, or refuses as it should, or is gone.
async fn answered(rig: &Rig, entry: &Entry) {
    let before = rig.records.answered(&entry.name);
    let enough = || {
        let gone = !rig.entries().iter().any(|e| e.name == entry.name);
        gone || entry.standing() == Some(Standing::Stale)
            || rig.records.answered(&entry.name) >= before + ANSWERS
    };
    until("the instance answers", enough).await;
}

async fn withdraw(rig: &Arc<Rig>) {
    let org = *ORGS.last().expect("there are some");
    until("its streams run", || rig.engines.values().any(|e| serves(e, org))).await;
    let from = rig.records.now();
    let generation = rig.publish(|d| d.organisations[org].keys.clear()).await;
    rig.records.withdrawn(org);
    let known = |e: &Arc<Entry>| e.gate.current.load().generation >= generation;
    until("it is in force", || rig.entries().iter().all(known)).await;
    rig.records.changed("withdrawal".into(), from);
    sent_after(rig, rig.records.bounds().withdrawal).await;
}

/// Whether a stream of an organisation runs at an engine.
fn serves(engine: &Engine, org: &str) -> bool {
    let told = |v: &http::HeaderValue| v.as_bytes() == org.as_bytes();
    let log = engine.log();
    log.iter().any(|r| r.state == RunState::Running && r.headers.get(SALT).is_some_and(told))
}

/// Waits until every instance ended calls that began later than `bound` from now.
async fn sent_after(rig: &Arc<Rig>, bound: Duration) {
    let from: Time = rig.records.now() + bound;
    let late = |e: &Arc<Entry>| {
        let seen = rig.records.seen();
        seen.calls.iter().any(|c| c.instance == e.name && c.span.from > from)
    };
    until("calls were sent after the bound", || rig.entries().iter().all(late)).await;
}

fn busy(rig: &Rig) -> Option<(&String, &Engine)> {
    rig.engines.iter().max_by_key(|(_, e)| e.load().running).filter(|(_, e)| e.load().running > 0)
}

async fn leave(rig: &Arc<Rig>) {
    until("an engine is busy", || busy(rig).is_some()).await;
    let Some((name, engine)) = busy(rig) else { return };
    rig.records.leaving(name);
    let from = rig.records.now();
    rig.leave(name, engine.address());
    sent_after(rig, rig.records.bounds().leaving).await;
    rig.records.changed("leaving".into(), from);
}

async fn crash(rig: &Arc<Rig>) {
    until("an engine is busy", || busy(rig).is_some()).await;
    let Some((name, engine)) = busy(rig) else { return };
    let number = rig.records.fault(name, Part::Whole, "crash");
    engine.crash();
    accepts(engine.address()).await;
    rig.records.healed(number);
}

async fn accepts(address: SocketAddr) {
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn poison(rig: &Arc<Rig>, rng: &mut ChaCha8Rng) {
    let crashes = || rig.engines.values().map(|e| e.crashes()).collect::<Vec<_>>();
    let before = crashes();
    let fault = |name: &String| rig.records.fault(name, Part::Whole, "crashing request");
    let numbers: Vec<usize> = rig.engines.keys().map(fault).collect();
    rig.engines.values().for_each(|e| e.set(|f| f.crash_mark = Some(POISON.into())));
    for i in 0..RESENDS {
        let entry = choose(rig, rng);
        let sending = Sending::model(&format!("poison-{i}"), ORGS[0], POISON, 10, i % 2 == 0);
        sending.through(rig, &entry).await;
    }
    rig.engines.values().for_each(|e| e.set(|f| f.crash_mark = None));
    assert_ne!(crashes(), before, "no engine crashed");
    for (number, engine) in numbers.into_iter().zip(rig.engines.values()) {
        accepts(engine.address()).await;
        rig.records.healed(number);
    }
}

async fn silence(rig: &Arc<Rig>) {
    for (name, engine) in &rig.engines {
        rig.records.fault(name, Part::Whole, "silent connections");
        engine.tap().silence();
    }
    for (name, service) in &rig.services {
        rig.records.fault(name, Part::Whole, "silent connections");
        service.tap().silence();
    }
    for entry in rig.entries() {
        rig.records.fault(&entry.name, Part::Store, "silent connections");
        entry.back.silence();
    }
    for entry in rig.entries() {
        answered(rig, &entry).await;
    }
}
