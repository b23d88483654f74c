//! Versions of the streams of all services, for one instance.

use {
    crate::{
        StreamId,
        begun::{self, Begun},
        history::History,
        homes::{self, CHUNK_STREAMS, Message, Row},
        metrics::Metrics,
        record::{self, Splits},
        split::Split,
    },
    agate_core::Wall,
    agate_store::{Result, Store},
    agate_view::{
        LocalView, clock,
        peers::Peer,
        roster::Version,
        shared_record::{Role, SharedRecord},
        table::Name,
    },
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, OnceLock},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Time for which the homes of a stream are waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of times that they are asked.
const ASKS: u32 = 2;

/// Where a stream that a caller takes up may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// At any endpoint: the service has one version only.
    Any,
    /// At endpoints of this version.
    At(Version),
    /// Nowhere yet: it cannot be told which version began it. If it has gone on for as long as this,
    /// it can.
    Unknown(Option<Duration>),
}

/// What told the version of a stream that a caller takes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This instance forwarded the stream, or is one of its homes.
    Remembered,
    /// A home of the stream.
    Told,
    /// The splits of its service.
    Computed,
    /// Nothing: it cannot be told.
    Nothing,
}

impl Source {
    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Remembered => "remembered",
            Self::Told => "told",
            Self::Computed => "computed",
            Self::Nothing => "nothing",
        }
    }
}

/// Present time of day.
type WallFn = dyn Fn() -> Wall + Send + Sync;
/// Sends a message to another instance.
type SendFn = dyn Fn(Message, SocketAddr) + Send + Sync;
/// Present instances.
type PeersFn = dyn Fn() -> Arc<Vec<Peer>> + Send + Sync;

/// Contact to the other instances.
struct Contact {
    own: SocketAddr,
    peers: Box<PeersFn>,
    send: Box<SendFn>,
}

/// Splits of all services, and versions of the streams that this instance forwards or is a home of.
pub struct Versions {
    histories: Mutex<IndexMap<Name, History>>,
    begun: Mutex<Begun>,
    /// Streams that others are asked about, with the number of answers that they are not known.
    asked: Mutex<IndexMap<StreamId, usize>>,
    /// Notified when an answer has come.
    told: Notify,
    record: SharedRecord<Splits>,
    view: Arc<LocalView>,
    /// Metrics of the streams that callers take up.
    pub metrics: Metrics,
    /// Set when the stored splits from before the start are known.
    seeded: OnceLock<()>,
    wall: Box<WallFn>,
    contact: OnceLock<Contact>,
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
            begun: Mutex::default(),
            view,
            metrics: Metrics::default(),
            record: SharedRecord::new(store, record::KEY, record::merge, |_, _| {}),
            seeded: OnceLock::new(),
            wall: Box::new(wall),
            asked: Mutex::default(),
            told: Notify::new(),
            contact: OnceLock::new(),
        }
    }

    /// Sets how other instances are reached; `own` is the address of this one.
    pub fn connect(
        &self,
        own: SocketAddr,
        peers: impl Fn() -> Arc<Vec<Peer>> + Send + Sync + 'static,
        send: impl Fn(Message, SocketAddr) + Send + Sync + 'static,
    ) {
        let contact = Contact { own, peers: Box::new(peers), send: Box::new(send) };
        if self.contact.set(contact).is_err() {
            log::debug!("the contact to other instances was set already");
        }
    }

    fn histories(&self) -> MutexGuard<'_, IndexMap<Name, History>> {
        self.histories.lock().expect("lock of the histories is not poisoned")
    }

    fn begun(&self) -> MutexGuard<'_, Begun> {
        self.begun.lock().expect("lock of the begun streams is not poisoned")
    }

    /// Sets the present split of each service with endpoints.
    pub fn install(&self, splits: &IndexMap<Name, Split>) {
        let now = clock::now();
        let mut histories = self.histories();
        let changed = splits.iter().filter(|(service, split)| {
            histories.entry((*service).clone()).or_default().record(split, now)
        });
        let changed: Vec<_> = changed.collect();
        drop(histories);
        for (service, split) in &changed {
            self.tell_moved(service, split);
        }
        if !changed.is_empty() {
            self.record.wake();
        }
    }

    /// Tells the homes of the streams of `service` that would begin at another version by now.
    fn tell_moved(&self, service: &Name, split: &Split) {
        let begun = self.begun();
        let moved = begun.of_service(service).filter(|(s, v)| split.version_of(*s) != Some(*v));
        let row = |(stream, version): (StreamId, &Version)| Row {
            stream,
            service: service.clone(),
            version: version.clone(),
        };
        let rows: Vec<Row> = moved.map(row).collect();
        drop(begun);
        self.tell(rows);
    }

    /// Tells the homes of streams which versions began them.
    fn tell(&self, rows: Vec<Row>) {
        let Some(Contact { own, peers, send }) = self.contact.get() else { return };
        let peers = peers();
        let mut by_home: IndexMap<SocketAddr, Vec<Row>> = IndexMap::new();
        for row in rows {
            for home in homes::homes(row.stream, &peers).into_iter().filter(|h| h != own) {
                by_home.entry(home).or_default().push(row.clone());
            }
        }
        for (home, rows) in by_home {
            rows.chunks(CHUNK_STREAMS).for_each(|c| send(Message::Begun(c.to_vec()), home));
        }
    }

    /// Applies a message of another instance; returns the answer, if there is one.
    pub fn receive(&self, message: Message) -> Option<Message> {
        match message {
            Message::Begun(rows) => {
                let mut begun = self.begun();
                for Row { stream, service, version } in rows {
                    begun.add(stream, service, version, clock::now());
                }
                drop(begun);
                self.told.notify_waiters();
                None
            }
            Message::Asked(stream) => {
                let found = self.begun().get(stream).cloned();
                let row = |(service, version)| Row { stream, service, version };
                Some(found.map_or(Message::NotKnown(stream), |f| Message::Begun(vec![row(f)])))
            }
            Message::NotKnown(stream) => {
                if let Some(answers) = self.asked().get_mut(&stream) {
                    *answers += 1;
                }
                self.told.notify_waiters();
                None
            }
        }
    }

    /// Asks the homes of a stream which version began it.
    async fn ask(&self, stream: StreamId) -> Option<Version> {
        let Contact { own, peers, send } = self.contact.get()?;
        let mut homes = homes::homes(stream, &peers());
        homes.retain(|home| home != own);
        let mut found = None;
        for _ in 0..ASKS {
            self.asked().insert(stream, 0);
            homes.iter().for_each(|home| send(Message::Asked(stream), *home));
            let answered = timeout(ASK_TIMEOUT / ASKS, self.answers(stream, homes.len())).await;
            if let Ok(answer) = answered {
                found = answer;
                break;
            }
        }
        self.asked().swap_remove(&stream);
        found
    }

    /// Waits until the version of a stream is told; `None` if none of `homes` knows it.
    async fn answers(&self, stream: StreamId, homes: usize) -> Option<Version> {
        loop {
            let mut told = pin!(self.told.notified());
            told.as_mut().enable();
            let known = self.known(stream);
            // Another request may ask at the same time and have ended the count.
            let denied = self.asked().get(&stream).is_none_or(|answers| *answers >= homes);
            if known.is_some() || denied {
                return known;
            }
            told.await;
        }
    }

    fn asked(&self) -> MutexGuard<'_, IndexMap<StreamId, usize>> {
        self.asked.lock().expect("lock of the asked streams is not poisoned")
    }

    fn known(&self, stream: StreamId) -> Option<Version> {
        self.begun().get(stream).map(|(_, version)| version.clone())
    }

    /// Version that a new stream of `service` begins at; `None` if it may begin at any.
    pub fn begin(&self, service: &Name, stream: StreamId) -> Option<Version> {
        self.histories().get(service)?.begin(stream, clock::now()).cloned()
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
            Resumption::Any | Resumption::Unknown(_) => None,
        };
        log::info!(
            event = "stream_version", stream, service = &**service, version,
            source = source.label(),
            endpoints_ms = self.view.roster.age().map(|a| a.as_millis() as u64);
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
        if let Some(version) = stream.and_then(|stream| self.known(stream)) {
            return (Resumption::At(version), Source::Remembered);
        }
        let deduced = match self.deduce(service, stream, window) {
            unknown @ Resumption::Unknown(_) => (unknown, Source::Nothing),
            known => (known, Source::Computed),
        };
        let Some(stream) = stream.filter(|_| self.is_divided(service)) else { return deduced };
        let told = self.ask(stream).await;
        told.map_or(deduced, |version| (Resumption::At(version), Source::Told))
    }

    /// Whether streams of `service` may have begun at several versions lately, as far as is known.
    fn is_divided(&self, service: &Name) -> bool {
        let histories = self.histories();
        let history = histories.get(service).filter(|_| self.seeded.get().is_some());
        history.is_none_or(|h| !h.has_one_version(begun::RETENTION, clock::now()))
    }

    /// Deduces from the recent splits where a stream may go on.
    fn deduce(&self, service: &Name, stream: Option<StreamId>, window: Duration) -> Resumption {
        let histories = self.histories();
        let Some(history) = histories.get(service).filter(|_| self.seeded.get().is_some()) else {
            return Resumption::Unknown(None);
        };
        let now = clock::now();
        match stream.map(|stream| history.version(stream, window, now)) {
            Some(Ok(version)) => Resumption::At(version.clone()),
            Some(Err(left)) => Resumption::Unknown(left),
            None if history.has_one_version(window, now) => Resumption::Any,
            None => Resumption::Unknown(None),
        }
    }

    /// Remembers the version that brought the first event of a stream.
    pub fn on_begun(&self, stream: StreamId, service: &Name, version: &Version) {
        let now = clock::now();
        self.begun().add(stream, service.clone(), version.clone(), now);
        let open = self
            .histories()
            .get(service)
            .is_some_and(|history| history.version(stream, begun::RETENTION, now) != Ok(version));
        if open {
            let (service, version) = (service.clone(), version.clone());
            self.tell(vec![Row { stream, service, version }]);
        }
    }

    /// Reads the splits from before the start, then keeps the stored ones current; never returns.
    pub async fn follow(&self, role: impl Fn() -> Role) {
        self.record.open().await;
        self.seeded.get_or_init(|| self.seed());
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
                history.steps().map(|(at, split)| (dated(*at), split.clone())).collect()
            };
            Splits(histories.iter().map(|(service, h)| (service.clone(), of(h))).collect())
        };
        self.record.change(|stored| (stored.update(&own), ())).await
    }
}
