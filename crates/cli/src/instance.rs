//! One running instance: configuration, request path, listeners and graceful shutdown.

use {
    crate::{
        operator::{Operator, View},
        settings::Settings,
    },
    agate_config::{
        Document,
        head::{HEAD_KEY, Head},
        publish,
        snapshot::{Current, Names, Snapshot},
    },
    agate_flow::{gate::Gate, server::Front, suspect::Suspects},
    agate_platform::{http::Http, instances},
    agate_store::{Purpose, Revision, Store},
    eyre::{Result, WrapErr},
    rand::RngExt,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Time between two reads of the platform's instance list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait of one watch on the configuration.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Bounds of the pause after a failed read of the configuration.
const PAUSE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// Handle of a running instance.
pub struct Instance {
    /// State of its request path.
    pub gate: Arc<Gate>,
    front: Front,
    operator: Operator,
    stop: Stop,
    tasks: Vec<JoinHandle<()>>,
}

/// The graceful shutdown, shared by every way to ask for it.
#[derive(Clone)]
struct Stop {
    view: Arc<View>,
    grace: Duration,
    started: Arc<AtomicBool>,
    ended: CancellationToken,
}

impl Instance {
    /// Starts an instance: waits for a configuration, then binds its listeners.
    pub async fn spawn(settings: &Settings, store: Store) -> Result<Self> {
        let mut names = Names::default();
        let (revision, first) = first_snapshot(&store, &mut names).await;
        let current = Arc::new(Current::new(first));
        let gate = {
            let (limits, suspects) = (settings.limits.limits(), Suspects::open(|_, _| {}));
            Gate::open(current, &settings.zone, limits, suspects, [0; 32])
        };
        let view = View {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            gate: gate.clone(),
            ready: AtomicBool::new(true),
        };
        let stop = Stop {
            view: Arc::new(view),
            grace: settings.stop.grace,
            started: Arc::default(),
            ended: CancellationToken::new(),
        };
        let operator = Operator::bind(settings.operator, stop.view.clone(), stop.clone().run());
        let operator = operator.await?;
        let front = Front::bind(settings.listen, gate.clone(), stop.clone().run())
            .await
            .wrap_err_with(|| format!("binding the callers' address {}", settings.listen))?;
        log::info!("instance {} serves callers at {}", settings.name, front.address());
        let tasks = vec![
            tokio::spawn(watch(store, gate.clone(), Mutex::new(names), revision)),
            tokio::spawn(follow_list(Http::open(settings.platform), gate.clone())),
        ];
        Ok(Self { gate, front, operator, stop, tasks })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.front.address()
    }

    /// Address for operators.
    pub fn operator(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Stops gracefully: no request in progress is cut.
    pub async fn stop(self) {
        self.stop.clone().run().await;
        self.front.close();
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    /// Waits until the instance stopped after a signal.
    pub async fn ended(self) {
        self.front.ended().await;
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Stop {
    /// Carries out the shutdown once; later callers wait for the same end.
    async fn run(self) {
        if self.started.swap(true, Ordering::SeqCst) {
            return self.ended.cancelled().await;
        }
        log::info!("instance {} is stopping", self.view.name);
        self.view.ready.store(false, Ordering::SeqCst);
        sleep(self.grace).await;
        let flight = &self.view.gate.flight;
        flight.close();
        flight.drained().await;
        log::info!("instance {} finished its last request", self.view.name);
        self.ended.cancel();
    }
}

async fn first_snapshot(store: &Store, names: &mut Names) -> (Revision, Snapshot) {
    loop {
        match read(store).await {
            Ok(Some((revision, head, document))) => {
                let snapshot = Snapshot::compile(&document, head.generation, names);
                return (revision, snapshot);
            }
            Ok(None) => log::info!("no configuration has been applied yet; waiting"),
            Err(e) => log::warn!("reading the configuration: {e}"),
        }
        pause().await;
    }
}

/// Reads the configuration with a revision of its head that is not newer than it.
async fn read(store: &Store) -> publish::Result<Option<(Revision, Head, Document)>> {
    let Some((revision, _)) = publish::newest(store).await? else { return Ok(None) };
    let loaded = publish::load(store).await?;
    Ok(loaded.map(|(head, document)| (revision, head, document)))
}

async fn watch(store: Store, gate: Arc<Gate>, names: Mutex<Names>, mut revision: u64) {
    loop {
        match store.watch(Purpose::Config, HEAD_KEY, revision, WATCH_WAIT).await {
            Ok(Some(record)) => match install(&store, &gate, &names).await {
                Ok(()) => revision = record.revision,
                Err(e) => {
                    log::warn!("installing a configuration: {e}");
                    pause().await;
                }
            },
            Ok(None) => {}
            Err(e) => {
                log::warn!("watching the configuration: {e}");
                pause().await;
            }
        }
    }
}

async fn install(store: &Store, gate: &Gate, names: &Mutex<Names>) -> Result<()> {
    let Some((head, document)) = publish::load(store).await? else { return Ok(()) };
    let snapshot = {
        let mut names = names.lock().expect("no panic while compiling");
        Snapshot::compile(&document, head.generation, &mut names)
    };
    let generation = snapshot.generation;
    if gate.current.advance(snapshot) {
        gate.refresh();
        log::info!("configuration {generation} is in force");
    }
    Ok(())
}

/// Keeps leaving endpoints from new work by the platform's list.
async fn follow_list(http: Http, gate: Arc<Gate>) {
    loop {
        match instances::list(&http).await {
            Ok(entries) => {
                let leaving = entries.into_iter().filter(|e| e.state == instances::State::Leaving);
                gate.set_leaving(leaving.map(|e| e.name).collect());
            }
            // An old list is better than none: what was leaving stays so.
            Err(e) => log::debug!("reading the platform's instance list: {e}"),
        }
        let spread = rand::rng().random_range(0.8..1.2);
        sleep(LIST_PERIOD.mul_f64(spread)).await;
    }
}

/// Waits a random time, so that instances that failed together do not call together again.
async fn pause() {
    let wait = rand::rng().random_range(PAUSE.0..PAUSE.1);
    sleep(wait).await;
}
