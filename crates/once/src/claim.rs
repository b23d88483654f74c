//! The handle that requests claim through, and the permit of a claim's winner.

use {
    crate::{
        entry::{Answer, Change, KeyHash, Op, Print, Stage, Token, Verdict},
        forward::{Forward, Forwarder},
        head::Limits,
        owner::{self, ShardId},
        shard,
        tally::{Tally, count},
        writer::{BARRIER, Item, Pace, WallClock, Writer},
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

/// Changes that may wait for one shard.
const QUEUE: usize = 65_536;

/// How claims are made and kept.
#[derive(Clone)]
pub struct Settings {
    /// Distinguishes this start of the process from every other start of any instance; see
    /// [`fresh_incarnation`]. Two that are equal could both hold one claim.
    pub incarnation: u64,
    /// Number of claim shards; equal on all instances.
    pub shards: u32,
    /// Least time between the starts of two writes of one shard.
    pub linger: Duration,
    /// Longest time that the statement of an outcome waits for a claim to ride with.
    pub settle: Duration,
    /// Time after which a claim that the store does not confirm is refused.
    pub give_up: Duration,
    /// Time from asking for a claim, or from its renewal, within which its call may be sent.
    pub dispatch: Duration,
    /// Time from asking for a claim within which it may be renewed, for a call that waits in a
    /// queue.
    pub hold: Duration,
    /// Time for which a claim is kept; a key used again later is a new call. The instances' wall
    /// clocks must differ by less than this, less [`Settings::hold`] and [`Settings::dispatch`].
    pub retention: Duration,
    /// Time to wait for the outcome of another call with the same key.
    pub patience: Duration,
    /// Time between two looks at a claim that another call holds.
    pub look: Duration,
    /// Bytes of body that are kept for replay.
    pub max_body: usize,
    /// Bounds of the records.
    pub limits: Limits,
    /// Sends changes to a shard's owner; `None` writes all shards from here.
    pub forward: Option<Forward>,
    /// Time to gather changes for one message to an owner.
    pub gather: Duration,
    /// Wall clock for expiry.
    pub wall: WallClock,
}

impl Settings {
    /// Settings of an instance that writes its claims itself.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            shards: 1,
            linger: Duration::from_millis(30),
            settle: Duration::from_millis(150),
            give_up: Duration::from_secs(1),
            dispatch: Duration::from_secs(2),
            hold: Duration::from_secs(300),
            retention: Duration::from_secs(600),
            patience: Duration::from_secs(10),
            look: Duration::from_millis(200),
            max_body: 4096,
            limits: Limits::default(),
            forward: None,
            gather: Duration::from_millis(2),
            wall: Arc::new(|| SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()),
        }
    }
}

/// Draws an incarnation from the instance's name, the time, and the process's random seed.
pub fn fresh_incarnation(name: &str) -> u64 {
    RandomState::new().hash_one((name, std::process::id(), SystemTime::now()))
}

/// Why a call with a booking key was refused; nothing was sent for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The store did not confirm the claim in time.
    #[error("claim at the store: not confirmed in time")]
    Unavailable,
    /// The shard holds as many claims as it may.
    #[error("claim at the store: too many claims are open")]
    Full,
}

/// How a call with a booking key stands.
#[derive(Debug)]
pub enum Claim {
    /// The call may be sent, once.
    Won(Permit),
    /// A call with this key ran; this is its answer.
    Replay(Answer),
    /// The key was used with another request.
    Conflict,
    /// A call with this key was sent and its outcome is not known.
    Unknown,
}

struct Shared {
    settings: Settings,
    store: Store,
    serial: AtomicU64,
    tally: Arc<Tally>,
    writers: Vec<mpsc::Sender<Item>>,
    senders: Vec<mpsc::Sender<Item>>,
}

/// Handle for claiming; clones share it.
#[derive(Clone)]
pub struct Once {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Once {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Once({:016x})", self.shared.settings.incarnation)
    }
}

impl Once {
    /// Starts the tasks of every shard.
    pub fn spawn(store: Store, settings: Settings) -> Once {
        let tally = Arc::new(Tally::default());
        let writers: Vec<_> =
            (0..settings.shards).map(|s| writer(&store, &settings, s, &tally)).collect();
        let senders = match &settings.forward {
            None => writers.clone(),
            Some(f) => {
                let each = writers.iter().enumerate();
                each.map(|(s, w)| forwarder(f.clone(), &settings, s as ShardId, w)).collect()
            }
        };
        let serial = AtomicU64::new(0);
        Once { shared: Arc::new(Shared { settings, store, serial, tally, writers, senders }) }
    }

    /// Claims a booking key of an organisation for the request with this fingerprint.
    ///
    /// Waits for another call that holds the claim, up to [`Settings::patience`].
    ///
    /// # Errors
    ///
    /// [`ClaimError`] if the claim was not confirmed; then nothing was sent for this call.
    pub async fn claim(
        &self,
        org: &str,
        key: &str,
        fingerprint: Print,
    ) -> Result<Claim, ClaimError> {
        let asked = Instant::now();
        let settings = &self.shared.settings;
        let mut look = false;
        loop {
            let mut permit = self.permit(owner::key_hash(org, key));
            match permit.ask(fingerprint, look).await? {
                Verdict::Won if permit.may_dispatch(Instant::now()) => {
                    permit.armed = true;
                    return Ok(Claim::Won(permit));
                }
                Verdict::Won => {
                    permit.release_unrun();
                    return Err(ClaimError::Unavailable);
                }
                Verdict::Absent => look = false,
                Verdict::Held if asked.elapsed() < settings.patience => {
                    look = true;
                    sleep(settings.look).await;
                }
                other => return self.conclude(permit.shard, permit.op.key, other).await,
            }
        }
    }

    /// What the writers of this instance did so far.
    pub fn tally(&self) -> &Tally {
        &self.shared.tally
    }

    /// Decides changes that another instance forwarded; `None` if they were not confirmed.
    pub async fn serve(&self, shard: ShardId, ops: Vec<Op>) -> Option<Vec<Verdict>> {
        let writer = self.shared.writers.get(shard as usize)?;
        let mut replies = Vec::with_capacity(ops.len());
        for op in ops {
            let (reply, verdict) = oneshot::channel();
            writer.send(Item { op, reply: Some(reply), foreign: true }).await.ok()?;
            replies.push(verdict);
        }
        let mut out = Vec::with_capacity(replies.len());
        for verdict in replies {
            out.push(verdict.await.ok()?);
        }
        Some(out)
    }

    /// Waits until the statements made before are in the store; false if one is not.
    pub async fn drain(&self) -> bool {
        let settings = &self.shared.settings;
        let token = Token { incarnation: settings.incarnation, serial: BARRIER };
        let mut done = true;
        for sender in &self.shared.senders {
            let (reply, verdict) = oneshot::channel();
            let op = Op { key: KeyHash::default(), token, change: Change::Free };
            let sent = sender.send(Item { op, reply: Some(reply), foreign: false }).await;
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
            asked: Instant::now(),
            end: Instant::now() + settings.dispatch,
            armed: false,
        }
    }

    async fn conclude(
        &self,
        shard: ShardId,
        key: KeyHash,
        verdict: Verdict,
    ) -> Result<Claim, ClaimError> {
        match verdict {
            Verdict::Ran(answer) => Ok(Claim::Replay(answer)),
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
            Some(Stage::Done(answer)) => Ok(Claim::Replay(answer)),
            _ => Ok(Claim::Unknown),
        }
    }
}

fn writer(
    store: &Store,
    settings: &Settings,
    shard: ShardId,
    tally: &Arc<Tally>,
) -> mpsc::Sender<Item> {
    let (to, queue) = mpsc::channel(QUEUE);
    let pace = Pace {
        linger: settings.linger,
        settle: settings.settle,
        give_up: settings.give_up,
        limits: settings.limits,
        wall: settings.wall.clone(),
    };
    let writer = Writer::new(store.clone(), shard, pace, settings.incarnation, tally.clone());
    tokio::spawn(writer.run(queue));
    to
}

fn forwarder(
    forward: Forward,
    settings: &Settings,
    shard: ShardId,
    writer: &mpsc::Sender<Item>,
) -> mpsc::Sender<Item> {
    let (to, queue) = mpsc::channel(QUEUE);
    let task = Forwarder {
        shard,
        forward,
        gather: settings.gather,
        patience: settings.give_up / 2,
        writer: writer.clone(),
    };
    tokio::spawn(task.run(queue));
    to
}

/// The right to send one call once.
///
/// Dropping it without a statement states that the outcome will never be known.
#[derive(Debug)]
pub struct Permit {
    once: Once,
    shard: ShardId,
    op: Op,
    asked: Instant,
    end: Instant,
    armed: bool,
}

impl Permit {
    /// Whether the call may still begin to be sent; ask last, right before the first byte.
    pub fn may_dispatch(&self, now: Instant) -> bool {
        now < self.end
    }

    /// Allows the call to be sent within [`Settings::dispatch`] from `now`, after a wait in a queue.
    ///
    /// The claim in the store outlives the last renewal, so no other call can win the key before
    /// this one may no longer be sent. Later than [`Settings::hold`] nothing changes.
    pub fn renew(&mut self, now: Instant) {
        let settings = &self.once.shared.settings;
        if now < self.asked + settings.hold {
            self.end = now + settings.dispatch;
        }
    }

    /// States the answer of the call.
    pub fn finish(mut self, status: u16, headers: Vec<(String, String)>, body: Vec<u8>) {
        let kept = body.len() <= self.once.shared.settings.max_body;
        let answer = Answer { status, headers, body: kept.then_some(body) };
        self.state(Change::Finish(answer));
    }

    /// States that nothing was sent, which frees the key.
    pub fn release_unrun(mut self) {
        self.state(Change::Free);
    }

    /// Asks for the claim; whoever finds that nobody waits for the verdict frees the claim.
    async fn ask(&self, print: Print, look: bool) -> Result<Verdict, ClaimError> {
        let shared = &self.once.shared;
        let expiry = ((shared.settings.wall)() + shared.settings.retention).as_millis() as u64;
        let change = if look { Change::Look { print } } else { Change::Claim { print, expiry } };
        let (reply, verdict) = oneshot::channel();
        let item =
            Item { op: Op { change, ..self.op.clone() }, reply: Some(reply), foreign: false };
        let sender = &shared.senders[self.shard as usize];
        sender.try_send(item).map_err(|_| ClaimError::Full)?;
        verdict.await.map_err(|_| ClaimError::Unavailable)
    }

    fn state(&mut self, change: Change) {
        self.armed = false;
        let item = Item { op: Op { change, ..self.op.clone() }, reply: None, foreign: false };
        let sender = &self.once.shared.senders[self.shard as usize];
        if sender.try_send(item).is_err() {
            count(&self.once.shared.tally.dropped, 1);
            log::warn!("claim shard {}: a statement was dropped, its claim stays open", self.shard);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.armed {
            self.state(Change::Lose);
        }
    }
}
