//! Exchanges messages with the other instances over one UDP socket.

use {
    crate::{
        Round,
        agreement::Agreement,
        changes::History,
        clocks::{self, Clock, Vote},
        coordinator::Coordinator,
        message::{
            LoadReport, Message, QuotaTotals, Request, Response, Suspects, Usage, VersionAge,
        },
        poller::{Confirmation, Poller},
        quota_exchange::QuotaExchange,
        quota_sums::QuotaUse,
        reassembly::Reassembly,
        secret::SharedKeys,
        sender::{ReachFn, Sender},
        share_exchange::{ShareCallbacks, ShareExchange},
        usage_push::UsagePush,
    },
    agate_core::{Mono, Wall},
    agate_task::Supervisor,
    agate_version::homes,
    agate_view::{
        LocalView, clock,
        peers::{self, Peer},
    },
    agate_wire::{Context, MAX_DATAGRAM, open},
    indexmap::IndexMap,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        task::JoinHandle,
        time::{Instant, sleep_until},
    },
};

/// Number of instances that act as coordinators.
pub const COORDINATORS: usize = 3;
/// Minimum time between two polls of one instance.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Poll interval for each known instance; it bounds a coordinator's work in large fleets.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(1);
/// Time between two usage rounds.
const USAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its start in which an instance without a better coordinator asks the others for the
/// configuration that they have; longer than between two reads of the instances.
const INTRODUCTION_TIME: Duration = Duration::from_secs(3);
/// Number of such a request.
const INTRODUCTION: Round = 0;
/// Number of requests by organisation, for each window.
pub type WindowCounts = Vec<(u64, Vec<(String, u64)>)>;
/// Version of the usage counts, and the counts.
pub type VersionedUsage = (u64, WindowCounts);
/// Receives the summed report of all other instances.
type FiguresFn = dyn Fn(&LoadReport) + Send + Sync;
/// Receives the sums of quota use of all other instances, and the time at which they were true.
type QuotaTotalsFn = dyn Fn(&QuotaTotals, Mono) + Send + Sync;

/// Callbacks through which the exchange reads and updates the rest of the instance.
pub struct Callbacks {
    /// Returns the report of this instance.
    pub own_report: Box<dyn Fn() -> LoadReport + Send + Sync>,
    /// Called with the summed report of all other instances.
    pub on_others: Box<FiguresFn>,
    /// Returns what this instance knows of requests that crash endpoints.
    pub suspects: Box<dyn Fn() -> Suspects + Send + Sync>,
    /// Called with what another instance knows of them.
    pub on_suspects: Box<dyn Fn(&Suspects) + Send + Sync>,
    /// Returns this instance's time of day and how long it has kept it.
    pub clock: Box<dyn Fn() -> (Wall, Duration) + Send + Sync>,
    /// Called with the time of day that the instances agree on.
    pub on_agreed_time: Box<dyn Fn(Wall) + Send + Sync>,
    /// Returns the own usage of the latest windows.
    pub usage: Box<dyn Fn() -> VersionedUsage + Send + Sync>,
    /// Called with the version of the own usage that the lease holder has, or every coordinator
    /// while the holder is unknown.
    pub on_usage_held: Box<dyn Fn(u64) + Send + Sync>,
    /// Called with the newest version of the own usage that any other coordinator has.
    pub on_usage_copied: Box<dyn Fn(u64) + Send + Sync>,
    /// Called with usage of another instance.
    pub on_usage: Box<dyn Fn(&Usage) + Send + Sync>,
    /// Returns whether datagrams to an address are sent.
    pub reaches: Arc<ReachFn>,
    /// Returns the use of organisations' quotas at this instance; `None` if none has a quota.
    pub quota_use: Box<dyn Fn() -> Option<QuotaUse> + Send + Sync>,
    /// Called with the sums over all other instances, and the time at which they were true.
    pub on_quota_totals: Box<QuotaTotalsFn>,
    /// Called with a message on the software versions of streams; returns the answer.
    pub on_streams: Box<dyn Fn(homes::Message) -> Option<homes::Message> + Send + Sync>,
    /// Callbacks for the shares of organisations; `None` if there are none.
    pub shares: Option<ShareCallbacks>,
}

/// Handle of the running exchange, which ends when the handle is dropped.
pub struct SyncHandle {
    task: JoinHandle<()>,
    sender: Sender,
}

impl SyncHandle {
    /// Sends messages from the address of the exchange.
    pub fn sender(&self) -> Sender {
        self.sender.clone()
    }
}

impl Drop for SyncHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds the address of `own` and starts the exchange. `incarnation` identifies this start of the
/// instance.
///
/// # Errors
///
/// The error of the operating system if the address cannot be bound.
pub async fn bind(
    own: Peer,
    incarnation: String,
    keys: Arc<SharedKeys>,
    view: Arc<LocalView>,
    callbacks: Callbacks,
    supervisor: Supervisor,
) -> io::Result<SyncHandle> {
    let socket = Arc::new(UdpSocket::bind(own.address).await?);
    let callbacks = Arc::new(callbacks);
    let sender = Sender::new(socket.clone(), keys.clone(), callbacks.reaches.clone());
    let sending = sender.clone();
    let make = move || SyncLoop {
        socket: socket.clone(),
        keys: keys.clone(),
        sender: sending.clone(),
        own: own.clone(),
        incarnation: incarnation.clone(),
        view: view.clone(),
        callbacks: callbacks.clone(),
        poller: Poller::default(),
        reassembly: Reassembly::default(),
        history: History::default(),
        holder: None,
        roster_confirmation: None,
        agreement: Agreement::default(),
        surveyed: 0,
        most_listed: (0, Mono::ZERO),
        coordinator: Coordinator::default(),
        quotas: QuotaExchange::default(),
        shares: ShareExchange::default(),
        pushes: IndexMap::new(),
        round: 0,
        started: Instant::now(),
    };
    let task = tokio::spawn(supervisor.run("sync", move || make().run()));
    Ok(SyncHandle { task, sender })
}

/// State of the exchange.
pub(crate) struct SyncLoop {
    socket: Arc<UdpSocket>,
    keys: Arc<SharedKeys>,
    pub(crate) sender: Sender,
    pub(crate) own: Peer,
    pub(crate) incarnation: String,
    pub(crate) view: Arc<LocalView>,
    pub(crate) callbacks: Arc<Callbacks>,
    pub(crate) poller: Poller,
    reassembly: Reassembly,
    pub(crate) history: History,
    /// Instance that holds the leader lease, as last reported.
    pub(crate) holder: Option<String>,
    /// Latest confirmation of the endpoint entries by another instance.
    pub(crate) roster_confirmation: Option<Confirmation>,
    pub(crate) agreement: Agreement,
    /// Index of the instance that is asked next for its endpoint entries.
    pub(crate) surveyed: usize,
    /// Largest recent number of listed instances, and when there were as many last.
    pub(crate) most_listed: (usize, Mono),
    coordinator: Coordinator,
    pub(crate) quotas: QuotaExchange,
    pub(crate) shares: ShareExchange,
    pub(crate) pushes: IndexMap<String, UsagePush>,
    pub(crate) round: u64,
    started: Instant,
}

impl SyncLoop {
    async fn run(mut self) {
        self.keys.wait_loaded().await;
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        let (mut next_poll, mut next_push) = (Instant::now(), Instant::now());
        let (shares, mut next_shares) = (self.callbacks.shares.is_some(), Instant::now());
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => self.receive(&buffer[..size], from).await,
                    Err(e) => log::debug!("failed to receive from an instance: {e}"),
                },
                () = sleep_until(next_poll) => {
                    next_poll = Instant::now() + self.poll_interval();
                    self.poll().await;
                }
                () = sleep_until(next_shares), if shares => {
                    next_shares = Instant::now() + self.share_interval();
                    self.report_shares().await;
                }
                () = sleep_until(next_push) => {
                    next_push = Instant::now() + USAGE_INTERVAL;
                    self.push_usage().await;
                }
            }
        }
    }

    pub(crate) fn poll_interval(&self) -> Duration {
        let instances = u32::try_from(self.view.instances()).unwrap_or(u32::MAX);
        POLL_INTERVAL.max(INTERVAL_PER_INSTANCE * instances)
    }

    /// The coordinators, best first.
    pub(crate) fn coordinators(&self) -> Vec<Peer> {
        let known = self.view.peers.load();
        peers::ranked(&known).into_iter().take(COORDINATORS).cloned().collect()
    }

    async fn poll(&mut self) {
        let coordinators = self.coordinators();
        let own = coordinators.iter().position(|p| p.name == self.own.name);
        // A coordinator polls only those ranked before it; the first one reads the store itself.
        let better = &coordinators[..own.unwrap_or(coordinators.len())];
        let names: Vec<&str> = better.iter().map(|p| p.name.as_str()).collect();
        if better.is_empty() && self.introducing() {
            // Nobody polls this instance before its record is read, so it asks the others itself
            // which configuration they have.
            for peer in coordinators.iter().filter(|p| p.name != self.own.name) {
                self.send_request(peer.address, INTRODUCTION).await;
            }
        }
        let requests = self.poller.poll(&names, clock::now());
        let active = own.is_some() && !self.poller.has_fresh_target();
        self.view.set_coordination(active, self.poller.has_target());
        let quota_use = self.record_quota_use();
        for (target, round) in requests {
            if let Some(peer) = better.iter().find(|p| p.name == target) {
                self.send_request(peer.address, round).await;
                self.send_quota_use(quota_use.as_ref(), peer, round).await;
            }
        }
        if active {
            self.apply_own();
            self.apply_own_quota_sums(quota_use.as_ref());
        }
        self.survey().await;
    }

    /// Whether this instance has just started and has not heard of another one's configuration.
    fn introducing(&self) -> bool {
        self.view.accepted_version() == 0 && self.started.elapsed() < INTRODUCTION_TIME
    }

    /// Applies the reports that this instance collected as coordinator, when no better coordinator
    /// responds.
    fn apply_own(&mut self) {
        let own =
            LoadReport { holder: (self.callbacks.own_report)().holder, ..LoadReport::default() };
        let totals = self.coordinator.totals("", &own, clock::now());
        self.on_contact(totals.instances, clock::now());
        self.holder = totals.holder.clone();
        (self.callbacks.on_others)(&totals);
        if let Some(offset) = self.clock().and_then(|c| c.agreed) {
            (self.callbacks.on_agreed_time)(clocks::with_offset(
                (self.callbacks.clock)().0,
                offset,
            ));
        }
    }

    pub(crate) async fn send_request(&self, address: SocketAddr, round: Round) {
        let from = self.incarnation.clone();
        let figures = (self.callbacks.own_report)().truncate();
        let roster = self.view.roster_digest.load(Ordering::Acquire);
        let (_, kept) = (self.callbacks.clock)();
        let clock = self.poller.clock_offset().map(|offset| Vote::new(offset, kept));
        let suspects = (self.callbacks.suspects)();
        let in_force = self.view.version();
        let request = Request { from, round, roster, suspects, clock, figures, in_force };
        self.sender.send(&Message::Request(request), address).await;
    }

    /// This instance's clock, as sent to others; `None` if it does not fit into 64 bits.
    fn clock(&self) -> Option<Clock> {
        let (wall, kept) = (self.callbacks.clock)();
        let agreed = self.coordinator.agreed_offset(kept, self.view.instances(), clock::now());
        Some(Clock { wall: wall.as_micros().try_into().ok()?, agreed })
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let context = Context::Datagram(self.own.address);
        let Some(keys) = self.keys.load() else { return };
        let message = match open::<Message>(&keys, bytes, context) {
            Ok(message) => message,
            Err(e) => return log::debug!("rejected a datagram from {from}: {e:?}"),
        };
        match message {
            Message::Request(request) => self.respond(&request, from).await,
            Message::Response(response) => self.on_response(&response),
            Message::Entries(part) => {
                let complete = self.reassembly.add_entries(part, self.roster_confirmation);
                self.offer_entries(complete);
            }
            Message::Changes(part) => {
                let digest = self.view.roster_digest.load(Ordering::Acquire);
                let known = self.view.entries.load();
                let complete =
                    self.reassembly.add_changes(part, &known, digest, self.roster_confirmation);
                self.offer_entries(complete);
            }
            Message::Streams(message) => {
                if let Some(answer) = (self.callbacks.on_streams)(message) {
                    self.sender.send(&Message::Streams(answer), from).await;
                }
            }
            Message::QuotaReport(report) => self.on_quota_report(&report, from).await,
            Message::QuotaTotals(totals) => self.on_quota_totals(&totals),
            Message::ShareReport(report) => self.on_share_report(&report, from).await,
            Message::ShareTotals(totals) => self.on_share_totals(totals),
            Message::Usage(usage) => {
                self.coordinator.on_usage(&usage);
                (self.callbacks.on_usage)(&usage);
            }
            Message::UsageEnd { round, parts, from: sender } => {
                if self.coordinator.usage_complete(&sender, round, parts) {
                    self.sender.send(&Message::UsageAck { round }, from).await;
                }
            }
            Message::UsageAck { round } => {
                for push in self.pushes.values_mut().filter(|p| p.round == round) {
                    push.acknowledged = push.version;
                }
            }
        }
    }

    async fn respond(&mut self, request: &Request, from: SocketAddr) {
        let now = clock::now();
        self.coordinator.on_request(request, now);
        (self.callbacks.on_suspects)(&request.suspects);
        self.view.report_version(request.in_force);
        let known = |(version, age): (u64, Duration)| {
            let age = age.as_micros().try_into().ok()?;
            (version != 0).then_some(VersionAge { version, age })
        };
        let view = &self.view;
        let config = view.config.age().map(|a| (view.config_revision.load(Ordering::Acquire), a));
        let response = Response {
            round: request.round,
            config: config.and_then(known),
            roster: view.confirmed_roster().and_then(known),
            clock: self.clock(),
            suspects: (self.callbacks.suspects)(),
            figures: self.coordinator.totals(&request.from, &(self.callbacks.own_report)(), now),
            in_force: view.version(),
        };
        self.sender.send(&Message::Response(response), from).await;
        self.forward_entries(request.roster, from).await;
    }

    fn on_response(&mut self, response: &Response) {
        self.view.report_version(response.in_force);
        let Some(outcome) =
            self.poller.on_response(response, (self.callbacks.clock)().0, clock::now())
        else {
            return;
        };
        (self.callbacks.on_suspects)(&response.suspects);
        if let Some(confirmation) = outcome.config {
            self.view.confirm_config(confirmation.version, confirmation.at);
        }
        self.on_roster(&outcome);
        // An instance that is polled for another reason than to be followed, or by an active
        // coordinator, has reports of few instances.
        if !outcome.current || self.view.is_coordinating() {
            return;
        }
        self.on_contact(response.figures.instances, outcome.sent);
        if let Some(wall) = outcome.wall {
            (self.callbacks.on_agreed_time)(wall);
        }
        self.holder = response.figures.holder.clone();
        (self.callbacks.on_others)(&response.figures);
    }
}
