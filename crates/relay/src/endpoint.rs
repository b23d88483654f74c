//! One endpoint, with its connections and what is known of its load and its reading.

use {
    crate::{
        fleet::Need,
        load::{Rate, Reading},
        pace::{Pace, Sample},
        place::Candidate,
        suspect::Probe,
    },
    agate_core::Mono,
    agate_link::link::Pool,
    agate_quarantine::EndpointHash,
    agate_route::health::{self, Health},
    agate_view::{roster::Entry, table::Name},
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::sync::Mutex as Turn,
};

/// Time for which an endpoint that refused a request gets none.
const REFUSED_FIRST: Duration = Duration::from_millis(40);
/// Longest such time.
const REFUSED_MOST: Duration = Duration::from_millis(640);

/// How endpoints of one kind read, shared by all of them.
pub type SharedPace = Arc<Mutex<Pace>>;

/// One endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its entry.
    pub entry: Entry,
    /// Hash of its name.
    pub hash: u64,
    /// Hash of this incarnation.
    pub incarnation: EndpointHash,
    /// Connections to it.
    pub pool: Arc<Pool>,
    /// What is known of its load, kept over changes of the entry.
    pub live: Arc<Live>,
    /// Most requests of this instance there at once.
    pub most: u32,
    /// How endpoints of its kind read.
    pub(crate) pace: SharedPace,
}

/// Figures of one endpoint.
#[derive(Debug, Default)]
pub struct Live {
    /// Requests of this instance.
    pub open: AtomicU32,
    /// Requests of all other instances, as last told.
    pub others: AtomicU32,
    /// Set when it said that another incarnation has its address.
    pub gone: AtomicBool,
    /// Failure detector.
    pub health: Health,
    /// When it refused a request for lack of capacity, and how often in a row.
    pub refusals: Mutex<Refusals>,
    /// Prompts that are not read yet, and how the endpoint reads.
    pub unread: Mutex<Unread>,
    /// What the newest probe showed, and when it began.
    pub probed: Turn<Option<(Instant, Probe)>>,
}

impl Live {
    pub(crate) fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().expect("no panic under the lock of the refusals")
    }

    pub(crate) fn unread(&self) -> MutexGuard<'_, Unread> {
        self.unread.lock().expect("no panic under the lock of the unread tokens")
    }
}

/// Prompt tokens at an endpoint whose first token has not come, and how it reads them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unread {
    /// Tokens of this instance's requests.
    pub own: u64,
    /// Tokens of all other instances' requests, as last told.
    pub others: u64,
    rate: Rate,
}

/// Refusals of an endpoint for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refusals {
    pub(crate) row: u32,
    /// End of the time for which it is left out.
    pub(crate) until: Mono,
}

impl Refusals {
    /// Leaves the endpoint out for a while, longer with each refusal in a row.
    pub(crate) fn on_refusal(&mut self, now: Mono) {
        if now >= self.until {
            self.until = now + (REFUSED_FIRST * (1 << self.row.min(8))).min(REFUSED_MOST);
            self.row += 1;
        }
    }
}

impl Endpoint {
    /// Whether it is what `need` asks for.
    pub(crate) fn fits(&self, need: &Need<'_>) -> bool {
        let staged = need.stage.is_none() || self.entry.stage == need.stage;
        let gone = self.live.gone.load(Relaxed);
        let avoided = need.avoided.contains(&self.incarnation);
        staged && !gone && !avoided && !need.tried.contains(&self.entry.name)
    }

    /// What is known of it, seen from `zone`.
    pub(crate) fn candidate(&self, zone: &Name, now: Mono) -> Candidate {
        Candidate {
            hash: self.hash,
            near: self.entry.zone == *zone,
            healthy: health::usable(&self.live.health, now),
            refusing: self.live.refusals().until > now,
            open: self.live.open.load(Relaxed),
            others: self.live.others.load(Relaxed),
            most: self.most,
            slots: self.entry.slots,
            reading: self.reading(),
        }
    }

    fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().expect("no panic under the lock of a pace")
    }

    /// What is known of its reading.
    pub(crate) fn reading(&self) -> Reading {
        let Unread { own, others, rate } = *self.live.unread();
        Reading { own, others, ..Reading::new(&self.pace(), &rate) }
    }

    /// Requests that a new one is beside of.
    pub(crate) fn beside(&self) -> u32 {
        let used = self.live.open.load(Relaxed) + self.live.others.load(Relaxed);
        used.min(self.entry.slots.saturating_sub(1))
    }

    /// Learns from a first token.
    pub(crate) fn learn(&self, sample: &Sample) {
        let mut pace = self.pace();
        let expected = pace.base() + sample.ahead as f64 / pace.speed();
        pace.learn(sample);
        drop(pace);
        self.live.unread().rate.learn(expected, sample.millis);
    }
}
