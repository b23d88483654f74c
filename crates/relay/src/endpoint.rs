//! One endpoint with its connections, load and prefill speed.

use {
    crate::{
        fleet::Requirements,
        latency::{LatencyModel, Sample},
        load::{PrefillLoad, SpeedRatio},
        placement::Candidate,
        signal_store::SharedSignals,
        survival::{Checks, Probe},
    },
    agate_core::Mono,
    agate_path::Path,
    agate_quarantine::EndpointHash,
    agate_route::{
        health::{self, Health},
        signals::SignalState,
    },
    agate_transport::link::Pool,
    agate_view::{
        roster::{Entry, Stage, Version},
        table::Name,
    },
    http::Uri,
    std::{
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU32, Ordering::Relaxed},
        },
        time::{Duration, Instant},
    },
    tokio::sync::Mutex as AsyncMutex,
};

/// Initial backoff of an endpoint that rejected a request for lack of capacity.
const MIN_BACKOFF: Duration = Duration::from_millis(40);
/// Maximum of that backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(640);

/// Latency model shared by all endpoints of one kind.
pub type SharedLatency = Arc<Mutex<LatencyModel>>;

/// One endpoint that requests can be sent to.
#[derive(Debug)]
pub struct Endpoint {
    /// Entry of the endpoint list.
    pub entry: Entry,
    /// Hash of its name, equal on every instance.
    pub hash: u64,
    /// Hash of its name and start time.
    pub incarnation: EndpointHash,
    /// Path to it.
    pub path: Arc<Path>,
    /// Connection pool.
    pub pool: Arc<Pool>,
    /// Load and health, kept when the entry changes.
    pub stats: Arc<EndpointStats>,
    /// What it stated in its responses, kept when the entry changes.
    pub(crate) signals: SharedSignals,
    /// Path of its health check; `None` if it has none.
    pub(crate) health: Option<Uri>,
    /// Maximum number of concurrent requests from this instance.
    pub max_open: u32,
    /// Latency model of endpoints of its kind.
    pub(crate) latency: SharedLatency,
}

/// Load and health of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointStats {
    /// Open requests of this instance.
    pub open: AtomicU32,
    /// Open requests of all other instances, as last reported.
    pub others_open: AtomicU32,
    /// Set when a response stated that another endpoint process listens at its address.
    pub replaced: AtomicBool,
    /// Failure detector.
    pub health: Health,
    /// Backoff after rejections for lack of capacity.
    pub backoff: Mutex<Backoff>,
    /// Prompt tokens that wait for prefill, and the endpoint's relative speed.
    pub prefill_queue: Mutex<PrefillQueue>,
    /// Start time and result of the last connection probe.
    pub last_probe: AsyncMutex<Option<(Instant, Probe)>>,
    /// Health checks that prove responses complete.
    pub(crate) checks: Checks,
}

impl EndpointStats {
    pub(crate) fn lock_backoff(&self) -> MutexGuard<'_, Backoff> {
        self.backoff.lock().expect("lock of the backoff is not poisoned")
    }

    pub(crate) fn lock_prefill_queue(&self) -> MutexGuard<'_, PrefillQueue> {
        self.prefill_queue.lock().expect("lock of the prefill queue is not poisoned")
    }
}

/// Prompt tokens at an endpoint that wait for prefill, and its speed relative to its kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillQueue {
    /// Tokens of this instance's requests.
    pub own: u64,
    /// Tokens of all other instances' requests, as last reported.
    pub others: u64,
    rate: SpeedRatio,
}

/// Backoff from an endpoint that rejected requests for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    pub(crate) consecutive: u32,
    /// Time until which the endpoint gets no requests.
    pub(crate) until: Mono,
}

impl Backoff {
    /// Starts a backoff, which doubles with each consecutive rejection.
    pub(crate) fn on_rejection(&mut self, now: Mono) {
        if now >= self.until {
            self.until = now + (MIN_BACKOFF * (1 << self.consecutive.min(8))).min(MAX_BACKOFF);
            self.consecutive += 1;
        }
    }
}

impl Endpoint {
    /// Whether it may serve a request with these requirements, apart from its load and health.
    pub(crate) fn matches(&self, requirements: &Requirements<'_>) -> bool {
        let staged = requirements.stage.is_none() || self.entry.stage == requirements.stage;
        let avoided = requirements.avoided.contains(&self.incarnation);
        let tried = requirements.tried.contains(&self.entry.name);
        let compatible = requirements.version.is_none_or(|v| *v == self.entry.version);
        staged && compatible && self.takes_work() && !avoided && !tried
    }

    /// Forgets failures, which were those of the path to it.
    pub(crate) fn clear_failures(&self) {
        health::reset(&self.stats.health);
        self.stats.lock_backoff().until = Mono::ZERO;
    }

    /// Whether it takes work of `stage`, and has `version` if that is given.
    pub(crate) fn serves(&self, stage: Stage, version: Option<&Version>) -> bool {
        let compatible = version.is_none_or(|v| *v == self.entry.version);
        self.entry.stage == Some(stage) && compatible && self.takes_work()
    }

    /// Whether its incarnation still listens at its address and takes new work.
    pub(crate) fn takes_work(&self) -> bool {
        !self.stats.replaced.load(Relaxed) && !self.signals.leaving()
    }

    /// Snapshot of its state for placement, as seen from `zone`. `share` is the part of its rate limit
    /// that this instance may use.
    pub(crate) fn candidate(&self, zone: &Name, share: Option<f64>, now: Mono) -> Candidate {
        Candidate {
            hash: self.hash,
            same_zone: self.entry.zone == *zone,
            healthy: health::usable(&self.stats.health, now),
            backing_off: self.stats.lock_backoff().until > now,
            withheld: self.lock_signals().withheld(share, now),
            open: self.stats.open.load(Relaxed),
            others_open: self.stats.others_open.load(Relaxed),
            max_open: self.max_open,
            slots: self.entry.slots,
            prefill: self.prefill_load(),
        }
    }

    pub(crate) fn lock_signals(&self) -> MutexGuard<'_, SignalState> {
        self.signals.lock()
    }

    fn latency(&self) -> MutexGuard<'_, LatencyModel> {
        self.latency.lock().expect("lock of a latency model is not poisoned")
    }

    /// Its prefill backlog and speed.
    pub(crate) fn prefill_load(&self) -> PrefillLoad {
        let PrefillQueue { own, others, rate } = *self.stats.lock_prefill_queue();
        PrefillLoad { own, others, ..PrefillLoad::new(&self.latency(), &rate) }
    }

    /// Number of requests that would run there concurrently with a new one.
    pub(crate) fn concurrent(&self) -> u32 {
        let used = self.stats.open.load(Relaxed) + self.stats.others_open.load(Relaxed);
        used.min(self.entry.slots.saturating_sub(1))
    }

    /// Updates the latency model and the relative speed from a first token.
    pub(crate) fn on_first_token(&self, sample: &Sample) {
        let mut latency = self.latency();
        let expected = latency.base() + sample.ahead as f64 / latency.speed();
        latency.learn(sample);
        drop(latency);
        self.stats.lock_prefill_queue().rate.learn(expected, sample.millis);
    }
}
