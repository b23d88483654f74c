//! Handle for claiming idempotency keys, and the permit that a successful claim returns.

use {
    crate::{
        counters::{Counters, add},
        entry::{Change, Fingerprint, KeyHash, Op, Stage, StoredResponse, Token, Verdict},
        forward::{Forward, Forwarder},
        head::Limits,
        owner::{self, ShardId},
        shard,
        writer::{BARRIER, PendingChange, WallClock, Writer, WriterSettings},
    },
    agate_store::Store,
    std::{
        hash::{BuildHasher, RandomState},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep},
    },
};

/// Most changes queued for one shard.
const QUEUE_CAPACITY: usize = 65_536;

/// Settings of the claims of one instance.
#[derive(Clone)]
pub struct Settings {
    /// Identifies this start of the process; see [`fresh_incarnation`]. It must differ from that of
    /// every other start of any instance, since two starts with the same value could both hold one
    /// claim.
    pub incarnation: u64,
    /// Number of claim shards; equal on all instances.
    pub shards: u32,
    /// Least time between the starts of two writes of one shard.
    pub write_interval: Duration,
    /// Longest time that an outcome waits for a claim to be written with.
    pub outcome_delay: Duration,
    /// Time after which a claim that the store does not confirm is refused.
    pub write_limit: Duration,
    /// Time after the request for a claim, or after its renewal, within which its call may be sent.
    pub dispatch: Duration,
    /// Time after the request for a claim within which it may be renewed, for a call that waits in
    /// a queue.
    pub renewal_limit: Duration,
    /// Time for which a claim is kept. A key used again later is a new call. The wall clocks of the
    /// instances must differ by less than this value minus [`Settings::renewal_limit`] and
    /// [`Settings::dispatch`].
    pub retention: Duration,
    /// Longest wait for the outcome of another call with the same key.
    pub wait_limit: Duration,
    /// Interval of the checks of a claim that another call holds.
    pub poll_interval: Duration,
    /// Largest response body that is stored for replay, in bytes.
    pub max_body: usize,
    /// Limits of the records.
    pub limits: Limits,
    /// Sends changes to a shard's owner; with `None`, this instance writes all shards.
    pub forward: Option<Forward>,
    /// Time for which changes are collected for one message to an owner.
    pub batch_delay: Duration,
    /// Wall clock, used for expiry.
    pub clock: WallClock,
}

impl Settings {
    /// Default settings of an instance that writes its claims itself.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            shards: 1,
            write_interval: Duration::from_millis(30),
            outcome_delay: Duration::from_millis(150),
            write_limit: Duration::from_secs(1),
            dispatch: Duration::from_secs(2),
            renewal_limit: Duration::from_secs(300),
            retention: Duration::from_secs(600),
            wait_limit: Duration::from_secs(10),
            poll_interval: Duration::from_millis(200),
            max_body: 4096,
            limits: Limits::default(),
            forward: None,
            batch_delay: Duration::from_millis(2),
            clock: Arc::new(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()),
        }
    }
}

/// Creates an incarnation from the instance's name, the process identifier, the time and a random
/// seed.
pub fn fresh_incarnation(name: &str) -> u64 {
    RandomState::new().hash_one((name, std::process::id(), SystemTime::now()))
}

/// Reason for which a claim was not made; nothing was sent for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The store did not confirm the claim in time.
    #[error("claim at the store: not confirmed in time")]
    Unavailable,
    /// The shard has as many open claims, or queued changes, as it may.
    #[error("claim at the store: too many claims are open")]
    Full,
}

/// Result of a claim.
#[derive(Debug)]
pub enum Claim {
    /// The call may be sent once.
    Won(Permit),
    /// A call with this key ran; this is its stored response.
    Replay(StoredResponse),
    /// The key was used with another request.
    Conflict,
    /// A call with this key was sent and its outcome is not known.
    Unknown,
}

struct Shared {
    settings: Settings,
    store: Store,
    serial: AtomicU64,
    counters: Arc<Counters>,
    writers: Vec<mpsc::Sender<PendingChange>>,
    senders: Vec<mpsc::Sender<PendingChange>>,
}

/// Handle for claiming idempotency keys. Clones share its state.
#[derive(Clone)]
pub struct ClaimCoordinator {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for ClaimCoordinator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ClaimCoordinator({:016x})", self.shared.settings.incarnation)
    }
}

impl ClaimCoordinator {
    /// Starts the tasks of every shard on the current runtime.
    pub fn spawn(store: Store, settings: Settings) -> ClaimCoordinator {
        let counters = Arc::new(Counters::default());
        let writers: Vec<_> =
            (0..settings.shards).map(|s| writer(&store, &settings, s, &counters)).collect();
        let senders = match &settings.forward {
            None => writers.clone(),
            Some(f) => {
                let each = writers.iter().enumerate();
                each.map(|(s, w)| forwarder(f.clone(), &settings, s as ShardId, w)).collect()
            }
        };
        let serial = AtomicU64::new(0);
        ClaimCoordinator {
            shared: Arc::new(Shared { settings, store, serial, counters, writers, senders }),
        }
    }

    /// Claims an idempotency key of an organisation for the request with this fingerprint.
    ///
    /// Waits while another call holds the claim, for at most [`Settings::wait_limit`].
    ///
    /// # Errors
    ///
    /// [`ClaimError`] if the claim was not confirmed; nothing was sent for this call.
    pub async fn claim(
        &self,
        org: &str,
        key: &str,
        fingerprint: Fingerprint,
    ) -> Result<Claim, ClaimError> {
        let requested_at = Instant::now();
        let settings = &self.shared.settings;
        let mut look = false;
        loop {
            let mut permit = self.permit(owner::key_hash(org, key));
            match permit.request_claim(fingerprint, look).await? {
                Verdict::Won if permit.may_dispatch(Instant::now()) => {
                    permit.armed = true;
                    return Ok(Claim::Won(permit));
                }
                Verdict::Won => {
                    permit.release_unrun();
                    return Err(ClaimError::Unavailable);
                }
                Verdict::Absent => look = false,
                Verdict::Held if requested_at.elapsed() < settings.wait_limit => {
                    look = true;
                    sleep(settings.poll_interval).await;
                }
                other => return self.resolve(permit.shard, permit.op.key, other).await,
            }
        }
    }

    /// Counters of the writers of this instance.
    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Applies changes that another instance forwarded and returns one verdict for each; `None` if
    /// they were not confirmed.
    pub async fn serve(&self, shard: ShardId, ops: Vec<Op>) -> Option<Vec<Verdict>> {
        let writer = self.shared.writers.get(shard as usize)?;
        let mut replies = Vec::with_capacity(ops.len());
        for op in ops {
            let (reply, verdict) = oneshot::channel();
            writer.send(PendingChange { op, reply: Some(reply), forwarded: true }).await.ok()?;
            replies.push(verdict);
        }
        let mut out = Vec::with_capacity(replies.len());
        for verdict in replies {
            out.push(verdict.await.ok()?);
        }
        Some(out)
    }

    /// Waits until all outcomes submitted before are in the store. Returns false if one could not
    /// be written.
    pub async fn drain(&self) -> bool {
        let settings = &self.shared.settings;
        let token = Token { incarnation: settings.incarnation, serial: BARRIER };
        let mut done = true;
        for sender in &self.shared.senders {
            let (reply, verdict) = oneshot::channel();
            let op = Op { key: KeyHash::default(), token, change: Change::Free };
            let sent =
                sender.send(PendingChange { op, reply: Some(reply), forwarded: false }).await;
            done &= sent.is_ok() && verdict.await.is_ok();
        }
        done
    }

    fn permit(&self, key: KeyHash) -> Permit {
        let settings = &self.shared.settings;
        let serial = self.shared.serial.fetch_add(1, Ordering::Relaxed);
        let token = Token { incarnation: settings.incarnation, serial };
        Permit {
            once: self.clone(),
            shard: owner::shard_of(&key, settings.shards),
            op: Op { key, token, change: Change::Free },
            requested_at: Instant::now(),
            send_deadline: Instant::now() + settings.dispatch,
            armed: false,
        }
    }

    async fn resolve(
        &self,
        shard: ShardId,
        key: KeyHash,
        verdict: Verdict,
    ) -> Result<Claim, ClaimError> {
        match verdict {
            Verdict::Ran(response) => Ok(Claim::Replay(response)),
            Verdict::Sealed(name) => self.replay(shard, key, &name).await,
            Verdict::Conflict => Ok(Claim::Conflict),
            Verdict::Full => Err(ClaimError::Full),
            _ => Ok(Claim::Unknown),
        }
    }

    async fn replay(&self, shard: ShardId, key: KeyHash, name: &str) -> Result<Claim, ClaimError> {
        let segment = shard::read_segment(&self.shared.store, shard, name).await;
        let mut segment = segment.map_err(|_| ClaimError::Unavailable)?;
        match segment.entries.swap_remove(&key).map(|e| e.stage) {
            Some(Stage::Done(response)) => Ok(Claim::Replay(response)),
            _ => Ok(Claim::Unknown),
        }
    }
}

fn writer(
    store: &Store,
    settings: &Settings,
    shard: ShardId,
    counters: &Arc<Counters>,
) -> mpsc::Sender<PendingChange> {
    let (to, queue) = mpsc::channel(QUEUE_CAPACITY);
    let writer_settings = WriterSettings {
        write_interval: settings.write_interval,
        outcome_delay: settings.outcome_delay,
        write_limit: settings.write_limit,
        limits: settings.limits,
        clock: settings.clock.clone(),
    };
    let writer =
        Writer::new(store.clone(), shard, writer_settings, settings.incarnation, counters.clone());
    tokio::spawn(writer.run(queue));
    to
}

fn forwarder(
    forward: Forward,
    settings: &Settings,
    shard: ShardId,
    writer: &mpsc::Sender<PendingChange>,
) -> mpsc::Sender<PendingChange> {
    let (to, queue) = mpsc::channel(QUEUE_CAPACITY);
    let task = Forwarder {
        shard,
        forward,
        batch_delay: settings.batch_delay,
        response_limit: settings.write_limit / 2,
        writer: writer.clone(),
    };
    tokio::spawn(task.run(queue));
    to
}

/// Permission to send one call once.
///
/// If it is dropped without an outcome, the outcome of the call is recorded as unknown.
#[derive(Debug)]
pub struct Permit {
    once: ClaimCoordinator,
    shard: ShardId,
    op: Op,
    requested_at: Instant,
    send_deadline: Instant,
    armed: bool,
}

impl Permit {
    /// Whether the call may still be started. Check this last, right before the first byte is sent.
    pub fn may_dispatch(&self, now: Instant) -> bool {
        now < self.send_deadline
    }

    /// Allows the call to be sent within [`Settings::dispatch`] from `now`, after a wait in a
    /// queue.
    ///
    /// The claim in the store outlives the last renewal, so no other call can claim the key while
    /// this one may be sent. After [`Settings::renewal_limit`] it has no effect.
    pub fn renew(&mut self, now: Instant) {
        let settings = &self.once.shared.settings;
        if now < self.requested_at + settings.renewal_limit {
            self.send_deadline = now + settings.dispatch;
        }
    }

    /// Records the response of the call.
    pub fn finish(mut self, status: u16, headers: Vec<(String, String)>, body: Vec<u8>) {
        let kept = body.len() <= self.once.shared.settings.max_body;
        let response = StoredResponse { status, headers, body: kept.then_some(body) };
        self.submit_outcome(Change::Finish(response));
    }

    /// Records that nothing was sent, which frees the key.
    pub fn release_unrun(mut self) {
        self.submit_outcome(Change::Free);
    }

    /// Requests the claim. If the caller stops waiting, the claim is freed by the task that
    /// delivers the verdict.
    async fn request_claim(&self, print: Fingerprint, look: bool) -> Result<Verdict, ClaimError> {
        let shared = &self.once.shared;
        let expiry = ((shared.settings.clock)() + shared.settings.retention).as_millis() as u64;
        let change = if look { Change::Look { print } } else { Change::Claim { print, expiry } };
        let (reply, verdict) = oneshot::channel();
        let item = PendingChange {
            op: Op { change, ..self.op.clone() },
            reply: Some(reply),
            forwarded: false,
        };
        let sender = &shared.senders[self.shard as usize];
        sender.try_send(item).map_err(|_| ClaimError::Full)?;
        verdict.await.map_err(|_| ClaimError::Unavailable)
    }

    fn submit_outcome(&mut self, change: Change) {
        self.armed = false;
        let item =
            PendingChange { op: Op { change, ..self.op.clone() }, reply: None, forwarded: false };
        let sender = &self.once.shared.senders[self.shard as usize];
        if sender.try_send(item).is_err() {
            add(&self.once.shared.counters.dropped, 1);
            log::warn!("claim shard {}: an outcome was dropped, its claim stays open", self.shard);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.armed {
            self.submit_outcome(Change::Lose);
        }
    }
}
