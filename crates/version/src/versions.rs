//! Versions of the streams of all services, for one instance.

use {
    crate::{
        StreamId, begun,
        detours::{Detour, Detours, VersionState},
        history::{History, Moment, Step, Unsettled, VALIDITY},
        homes::{Message, Row},
        known_streams::{Answer, KnownStreams},
        metrics::Metrics,
        record::{self, Splits},
        resumption::{Resumption, Source},
        split::Split,
    },
    agate_core::{Mono, Wall},
    agate_store::{Result, Store},
    agate_view::{
        LocalView, clock,
        peers::Peer,
        roster::{Digest, Version},
        shared_record::{Role, SharedRecord},
        table::Name,
    },
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        ops::Range,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        join,
        time::{sleep, timeout},
    },
};

/// Time for which a confirmation of the endpoints is waited for.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(200);
/// Time between two looks for it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(5);
/// Age of the latest contact to most other instances above which they are out of reach.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(1_250);

/// Present time of day.
type WallFn = dyn Fn() -> Wall + Send + Sync;

/// Splits of all services, and versions of the streams that this instance forwards or is a home of.
pub struct Versions {
    histories: Mutex<IndexMap<Name, History>>,
    /// Digest of the endpoint entries that the present splits are of.
    installed: AtomicU64,
    started: Mono,
    /// Latest time without contact to most other instances that the histories allow for.
    allowed_gap: Mutex<Option<Range<Mono>>>,
    streams: KnownStreams,
    record: SharedRecord<Splits>,
    detours: Detours,
    view: Arc<LocalView>,
    /// Metrics of the streams that callers take up.
    pub metrics: Metrics,
    /// Set when the stored splits from before the start are known.
    seeded: OnceLock<()>,
    wall: Box<WallFn>,
}

impl Versions {
    /// Knows no service yet. `view` tells how old what is known of the endpoints is, `wall` the time
    /// of day.
    pub fn new(
        store: Store,
        view: Arc<LocalView>,
        wall: impl Fn() -> Wall + Send + Sync + 'static,
    ) -> Self {
        Self {
            histories: Mutex::default(),
            installed: AtomicU64::new(0),
            started: clock::now(),
            allowed_gap: Mutex::default(),
            streams: KnownStreams::default(),
            detours: Detours::new(store.clone()),
            view,
            metrics: Metrics::default(),
            record: SharedRecord::new(store, record::KEY, record::merge, |_, _| {}),
            seeded: OnceLock::new(),
            wall: Box::new(wall),
        }
    }

    /// Sets how other instances are reached; `own` is the address of this one.
    pub fn connect(
        &self,
        own: SocketAddr,
        peers: impl Fn() -> Arc<Vec<Peer>> + Send + Sync + 'static,
        send: impl Fn(Message, SocketAddr) + Send + Sync + 'static,
    ) {
        self.streams.connect(own, peers, send);
    }

    /// Applies a message of another instance; returns the answer, if there is one.
    pub fn receive(&self, message: Message) -> Option<Message> {
        self.streams.receive(message, self.detours.forgotten())
    }

    fn histories(&self) -> MutexGuard<'_, IndexMap<Name, History>> {
        self.histories.lock().expect("lock of the histories is not poisoned")
    }

    /// Sets the present split of each service with endpoints; `digest` is that of their entries.
    pub fn install(&self, splits: &IndexMap<Name, Split>, digest: Digest) {
        let mut histories = self.histories();
        let Moment { now, .. } = self.moment(&mut histories);
        let former = self.view.take_replaced().unwrap_or(now);
        let changed = splits.iter().filter(|(service, split)| {
            histories.entry((*service).clone()).or_default().record(split, former, now)
        });
        let changed: Vec<_> = changed.collect();
        drop(histories);
        self.installed.store(digest, Ordering::Release);
        for (service, split) in &changed {
            self.streams.tell_moved(service, |s, version| split.version_of(s) != Some(version));
        }
        if !changed.is_empty() {
            self.record.wake();
        }
    }

    /// The present time and what a decision may rest on now.
    fn moment(&self, histories: &mut IndexMap<Name, History>) -> Moment {
        let now = clock::now();
        let gap = self.view.contact.gap();
        let mut allowed = self.allowed_gap.lock().expect("lock of the gap is not poisoned");
        // The splits that came while most other instances were out of contact.
        if let Some(Range { start, .. }) = gap.as_ref().filter(|g| Some(*g) != allowed.as_ref()) {
            let start = (*start).max(self.started);
            histories.values_mut().for_each(|history| history.postpone(start, now));
        }
        *allowed = gap;
        Moment { now, contact: self.latest_contact() }
    }

    /// Whether what is known of the endpoints is recent enough to tell versions from it.
    pub fn is_current(&self) -> bool {
        self.held_age().is_some_and(|age| age <= VALIDITY)
    }

    /// Age of what is known of the endpoints; `None` if newer splits are not known yet.
    fn held_age(&self) -> Option<Duration> {
        let held = self.view.entries_held(self.installed.load(Ordering::Acquire));
        held.map(|at| clock::now().saturating_sub(at))
    }

    /// Whether confirmations of the endpoints were missing not longer than `window` ago: versions may have
    /// come and gone meanwhile.
    fn has_gap(&self, window: Duration, now: Mono) -> bool {
        // What was before the start is known from the record.
        let gap = self.view.roster.gap().filter(|gap| gap.start > Mono::ZERO);
        gap.is_some_and(|gap| gap.end + window >= now)
    }

    /// Waits for a confirmation of the endpoints unless there is a recent one; returns whether there is.
    pub async fn confirm(&self) -> bool {
        if self.is_current() {
            return true;
        }
        self.view.roster.request_refresh();
        let confirmed = async {
            while !self.is_current() {
                sleep(CONFIRM_INTERVAL).await;
            }
        };
        timeout(CONFIRM_TIMEOUT, confirmed).await.is_ok()
    }

    /// Whether most other instances can be told of a stream, and asked. An instance that has just
    /// started counts as in contact.
    fn has_contact(&self) -> bool {
        clock::now() < self.latest_contact() + MAX_CONTACT_AGE
    }

    /// Whether a new stream of `service` whose name selects `version` may begin at another one: a detour is
    /// recorded, other instances can be told of the stream, and they know of the versions that there are. If
    /// the version does not work, a detour is recorded soon.
    pub fn may_begin_elsewhere(
        &self,
        service: &Name,
        version: &Version,
        state: VersionState,
    ) -> bool {
        let mut histories = self.histories();
        let moment = self.moment(&mut histories);
        let known = histories.get(service);
        let settled = known.is_some_and(|h| h.is_settled(moment) && h.versions().nth(1).is_some());
        drop(histories);
        let detour = (service.clone(), version.clone());
        settled && self.has_contact() && self.detours.allows(&detour, state)
    }

    fn latest_contact(&self) -> Mono {
        self.view.contact.at().unwrap_or_default().max(self.started)
    }

    /// Version that a new stream of `service` begins at; `None` if none is known. It may begin only after
    /// [`Self::confirm`].
    ///
    /// # Errors
    ///
    /// If other instances may choose another version by now, or the splits from before the start are not
    /// known.
    pub fn begin(
        &self,
        service: &Name,
        stream: StreamId,
    ) -> std::result::Result<Option<Version>, Unsettled> {
        let mut histories = self.histories();
        let moment = self.moment(&mut histories);
        let Some(history) = histories.get(service) else { return Ok(None) };
        self.seeded.get().ok_or(Unsettled)?;
        history.begin(stream, moment).map(Option::<&Version>::cloned)
    }

    /// Where a stream of `service` that began not longer than `window` ago may go on; `stream` is
    /// `None` if the caller does not name it.
    pub async fn resume(
        &self,
        service: &Name,
        stream: Option<StreamId>,
        window: Duration,
    ) -> Resumption {
        let (found, source) = self.find(service, stream, window).await;
        self.metrics.taken_up.with_label_values(&[source.label()]).inc();
        let version = match &found {
            Resumption::At(version) => Some(&**version),
            Resumption::Unknown(_) | Resumption::Outdated => None,
        };
        log::info!(
            event = "stream_version", stream, service = &**service, version,
            source = source.label(),
            endpoints_ms = self.held_age().map(|a| a.as_millis() as u64);
            "version of a stream that a caller takes up"
        );
        found
    }

    async fn find(
        &self,
        service: &Name,
        stream: Option<StreamId>,
        window: Duration,
    ) -> (Resumption, Source) {
        if let Some(version) = stream.and_then(|stream| self.streams.get(stream)) {
            return (Resumption::At(version), Source::Remembered);
        }
        let current = self.confirm().await;
        if let Some(stream) = stream.filter(|_| !current || self.is_divided(service)) {
            let computed = self.deduce(service, Some(stream), window);
            let may_be = |detours: &[Detour]| match &computed {
                Resumption::At(version) => detours.contains(&(service.clone(), version.clone())),
                Resumption::Unknown(_) | Resumption::Outdated => false,
            };
            let forgotten = self.detours.forgotten().unwrap_or_default();
            match self.streams.ask(stream, may_be, forgotten).await {
                Answer::Version(version) => return (Resumption::At(version), Source::Told),
                Answer::Forgotten => return (Resumption::Unknown(Some(window)), Source::Nothing),
                Answer::Silence if may_be(forgotten) => {
                    return (Resumption::Unknown(Some(window)), Source::Nothing);
                }
                // The stream may have begun at another version than its name selects.
                Answer::Silence if current && !self.has_contact() => {
                    return (Resumption::Unknown(None), Source::Nothing);
                }
                Answer::NotKnown | Answer::Silence => {}
            }
        }
        // The process may have stood still since the confirmation.
        if !self.is_current() {
            return (Resumption::Outdated, Source::Outdated);
        }
        match self.deduce(service, stream, window) {
            known @ Resumption::At(_) => (known, Source::Computed),
            unknown => (unknown, Source::Nothing),
        }
    }

    /// Whether streams of `service` may have begun at several versions lately, as far as is known.
    fn is_divided(&self, service: &Name) -> bool {
        let mut histories = self.histories();
        let moment = self.moment(&mut histories);
        if self.has_gap(begun::RETENTION, moment.now) {
            return true;
        }
        let history = histories.get(service).filter(|_| self.seeded.get().is_some());
        history.is_none_or(|h| h.only_version(begun::RETENTION, moment).is_none())
    }

    /// Deduces from the recent splits where a stream may go on.
    fn deduce(&self, service: &Name, stream: Option<StreamId>, window: Duration) -> Resumption {
        let mut histories = self.histories();
        let moment = self.moment(&mut histories);
        let Some(history) = histories.get(service).filter(|_| self.seeded.get().is_some()) else {
            return Resumption::Unknown(None);
        };
        let found = match stream {
            Some(stream) => history.version(stream, window, moment),
            None => history.only_version(window, moment).ok_or(None),
        };
        found.map_or_else(Resumption::Unknown, |version| Resumption::At(version.clone()))
    }

    /// Remembers the version that brought the first event of a stream.
    pub fn on_begun(&self, stream: StreamId, service: &Name, version: &Version) {
        let mut histories = self.histories();
        let moment = self.moment(&mut histories);
        self.streams.add(stream, service, version, moment.now);
        self.detours.on_begun(&(service.clone(), version.clone()));
        let open = histories
            .get(service)
            .is_some_and(|h| h.version(stream, begun::RETENTION, moment) != Ok(version));
        drop(histories);
        // Others may still use a split that this instance has never seen.
        if open || self.has_gap(2 * VALIDITY, moment.now) || !self.is_current() {
            let (service, version) = (service.clone(), version.clone());
            self.streams.tell(vec![Row { stream, service, version }]);
        }
    }

    /// Reads the splits and detours from before the start, then keeps the stored ones current; never
    /// returns.
    pub async fn follow(&self, role: impl Fn() -> Role) {
        self.detours.open().await;
        self.record.open().await;
        self.seeded.get_or_init(|| self.seed());
        join!(self.follow_splits(&role), self.detours.follow(&role));
    }

    async fn follow_splits(&self, role: impl Fn() -> Role) {
        let mut polls = 0;
        loop {
            let caught_up = self.record.next(&mut polls, &role).await;
            let saved = match caught_up {
                Ok(()) if role() != Role::Follower => self.save().await,
                other => other,
            };
            if let Err(e) = saved {
                self.record.back_off(&e).await;
            }
        }
    }

    /// Puts the stored splits before the own ones.
    fn seed(&self) {
        let (now, wall) = (clock::now(), (self.wall)());
        let known = self.record.load();
        let mut histories = self.histories();
        for (service, steps) in &known.state.0 {
            let steps = steps
                .iter()
                .map(|(at, split)| (now.saturating_sub(wall.saturating_sub(*at)), split.clone()));
            histories.entry(service.clone()).or_default().prepend(steps);
        }
    }

    /// Writes the own splits that the store lacks.
    async fn save(&self) -> Result<()> {
        let (now, wall) = (clock::now(), (self.wall)());
        let own: Splits = {
            let histories = self.histories();
            let of = |history: &History| {
                let dated = |at: Duration| wall.saturating_sub(now.saturating_sub(at));
                history
                    .steps()
                    .map(|Step { seen_at, split, .. }| (dated(*seen_at), split.clone()))
                    .collect()
            };
            Splits(histories.iter().map(|(service, h)| (service.clone(), of(h))).collect())
        };
        self.record.change(|stored| (stored.update(&own), ())).await
    }
}
