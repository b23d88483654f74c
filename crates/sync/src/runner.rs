//! Talks with the other instances over one UDP socket.

use {
    crate::{
        Round,
        asker::{Asker, Confirmed},
        assembly::Assembly,
        changes::History,
        clocks::{self, Clock, Vote},
        coordinator::Coordinator,
        message::{Figures, Known, Message, Question, State, Suspects, Usage},
    },
    agate_core::{Mono, Wall},
    agate_store::{Purpose, Store},
    agate_view::{
        Belief, Entry, clock,
        peers::{self, Peer},
    },
    agate_wire::{Context, Keys, MAX_DATAGRAM, SealError, open, seal},
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
        time::{Instant, sleep, sleep_until},
    },
};

/// Instances that act as coordinators.
pub const COORDINATORS: usize = 3;
/// Key of the secret that authenticates messages between instances.
const SECRET: &str = "agate/secret";
/// Bytes of that secret.
const SECRET_BYTES: usize = 32;
/// Shortest pause between two reads of the secret.
const SECRET_RETRY: Duration = Duration::from_millis(100);
/// Random time on top of it; many times what a write takes.
const SECRET_SPREAD: Duration = Duration::from_millis(500);
/// Shortest time between two questions of one instance.
const ASK_PERIOD: Duration = Duration::from_millis(50);
/// Time between two questions for each instance, which bounds a coordinator's work in large fleets.
const ASK_PERIOD_EACH: Duration = Duration::from_millis(1);
/// Time between two rounds of usage.
const USAGE_PERIOD: Duration = Duration::from_millis(500);
/// Age of the own proof above which a coordinator does not pass its entries on.
const PASSED_AGE: Duration = Duration::from_millis(1_500);
/// Rows of usage in one message, below what a datagram holds.
const USAGE_ROWS: usize = 40;

/// Requests by organisation, for each window.
pub type Rows = Vec<(u64, Vec<(String, u64)>)>;
/// Usage that is sent, with its version.
pub type Counted = (u64, Rows);
/// Takes the figures of all others in.
type OthersFn = dyn Fn(&Figures) + Send + Sync;

/// What the runner needs of the rest of the instance.
pub struct Ports {
    /// Own figures.
    pub own: Box<dyn Fn() -> Figures + Send + Sync>,
    /// Takes the figures of all others in.
    pub others: Box<OthersFn>,
    /// What this instance knows of requests that crash endpoints.
    pub suspects: Box<dyn Fn() -> Suspects + Send + Sync>,
    /// Takes over what another instance knows of them.
    pub suspects_told: Box<dyn Fn(&Suspects) + Send + Sync>,
    /// What this instance itself takes the time of day to be, and for how long it has kept it.
    pub clock: Box<dyn Fn() -> (Wall, Duration) + Send + Sync>,
    /// Takes over the time of day that the instances agree on.
    pub agreed: Box<dyn Fn(Wall) + Send + Sync>,
    /// Own usage of the newest windows.
    pub usage: Box<dyn Fn() -> Counted + Send + Sync>,
    /// Notes the version of the own usage that every coordinator has.
    pub usage_noted: Box<dyn Fn(u64) + Send + Sync>,
    /// Notes the newest version of the own usage that some other instance has.
    pub usage_copied: Box<dyn Fn(u64) + Send + Sync>,
    /// Takes usage of another instance in.
    pub collect: Box<dyn Fn(&Usage) + Send + Sync>,
}

/// Running talk with the other instances; it ends when this is dropped.
pub struct Talking {
    task: JoinHandle<()>,
}

impl Drop for Talking {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds the own address and begins to talk; `incarnation` names this start of the instance.
///
/// Errors: the operating system's when the address cannot be bound.
pub async fn bind(
    own: Peer,
    incarnation: String,
    store: Store,
    belief: Arc<Belief>,
    ports: Ports,
) -> io::Result<Talking> {
    let socket = UdpSocket::bind(own.address).await?;
    let task = tokio::spawn(async move {
        let keys = secret(&store).await;
        let talk = Talk {
            socket,
            keys,
            own,
            incarnation,
            belief,
            ports,
            asker: Asker::default(),
            assembly: Assembly::default(),
            history: History::default(),
            holder: None,
            vouched: None,
            coordinator: Coordinator::default(),
            pushes: IndexMap::new(),
            round: 0,
        };
        talk.run().await;
    });
    Ok(Talking { task })
}

/// Reads the secret; the first instance of all makes it. It never changes, so a read that may be old
/// is enough.
async fn secret(store: &Store) -> Keys {
    let mut waited = false;
    loop {
        let found = match store.peek(Purpose::Config, SECRET).await {
            Ok(Some(record)) => Some(record.value),
            Ok(None) if waited => make_secret(store).await,
            Ok(None) => None,
            Err(e) => {
                log::debug!("reading the secret: {e}");
                None
            }
        };
        match found.map(|value| Keys::new(&[&value])) {
            Some(Ok(keys)) => return keys,
            Some(Err(e)) => {
                log::error!(event = "secret_refused", cause:% = e; "the secret of the instances is unusable")
            }
            None => {}
        }
        // Instances that start together wait for different times, so one writes and the rest read.
        sleep(SECRET_RETRY + SECRET_SPREAD.mul_f64(rand::random())).await;
        waited = true;
    }
}

/// Writes a new secret unless there is one; returns the one that stands.
async fn make_secret(store: &Store) -> Option<Vec<u8>> {
    let made: [u8; SECRET_BYTES] = rand::random();
    match store.swap(Purpose::Lease, SECRET, 0, made.to_vec()).await {
        Ok(Ok(_)) => Some(made.to_vec()),
        Ok(Err(found)) => found.map(|record| record.value),
        Err(e) => {
            log::debug!("writing the secret: {e}");
            None
        }
    }
}

/// What one coordinator has of the own usage.
#[derive(Clone, Copy, Debug, Default)]
struct Push {
    round: u64,
    version: u64,
    noted: u64,
}

struct Talk {
    socket: UdpSocket,
    keys: Keys,
    own: Peer,
    incarnation: String,
    belief: Arc<Belief>,
    ports: Ports,
    asker: Asker,
    assembly: Assembly,
    history: History,
    /// Instance that holds the duties, as last told.
    holder: Option<String>,
    /// Newest proof of the endpoints by a coordinator.
    vouched: Option<Confirmed>,
    coordinator: Coordinator,
    pushes: IndexMap<String, Push>,
    round: u64,
}

impl Talk {
    async fn run(mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        let (mut ask, mut push) = (Instant::now(), Instant::now());
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((size, from)) => self.receive(&buffer[..size], from).await,
                    Err(e) => log::debug!("receiving from an instance: {e}"),
                },
                () = sleep_until(ask) => {
                    ask = Instant::now() + self.period();
                    self.ask().await;
                }
                () = sleep_until(push) => {
                    push = Instant::now() + USAGE_PERIOD;
                    self.push().await;
                }
            }
        }
    }

    fn period(&self) -> Duration {
        let instances = u32::try_from(self.belief.instances()).unwrap_or(u32::MAX);
        ASK_PERIOD.max(ASK_PERIOD_EACH * instances)
    }

    /// The coordinators, best first.
    fn coordinators(&self) -> Vec<Peer> {
        let known = self.belief.peers.load();
        peers::ranked(&known).into_iter().take(COORDINATORS).cloned().collect()
    }

    async fn ask(&mut self) {
        let coordinators = self.coordinators();
        let own = coordinators.iter().position(|p| p.name == self.own.name);
        // A coordinator asks only those before it; the first one reads the store itself.
        let asked = &coordinators[..own.unwrap_or(coordinators.len())];
        let names: Vec<&str> = asked.iter().map(|p| p.name.as_str()).collect();
        let questions = self.asker.ask(&names, clock::now());
        let leads = own.is_some() && !self.asker.has_fresh();
        self.belief.set_leading(leads, self.asker.has_target());
        for (target, round) in questions {
            if let Some(peer) = asked.iter().find(|p| p.name == target) {
                self.question(peer.address, round).await;
            }
        }
        if leads {
            self.lead();
        }
    }

    /// Takes in what this coordinator knows itself, since no better one answers.
    fn lead(&mut self) {
        let own = Figures { holder: (self.ports.own)().holder, ..Figures::default() };
        let totals = self.coordinator.totals("", &own, clock::now());
        self.holder = totals.holder.clone();
        (self.ports.others)(&totals);
        if let Some(ahead) = self.clock().and_then(|c| c.agreed) {
            (self.ports.agreed)(clocks::shifted((self.ports.clock)().0, ahead));
        }
    }

    async fn question(&self, address: SocketAddr, round: Round) {
        let from = self.incarnation.clone();
        let figures = (self.ports.own)().bounded();
        let roster = self.belief.digest.load(Ordering::Acquire);
        let (_, kept) = (self.ports.clock)();
        let clock = self.asker.ahead().map(|ahead| Vote::new(ahead, kept));
        let suspects = (self.ports.suspects)();
        let question = Question { from, round, roster, suspects, clock, figures };
        self.send(&Message::Question(question), address).await;
    }

    /// The time of day, as this instance tells it to others.
    fn clock(&self) -> Option<Clock> {
        let (wall, kept) = (self.ports.clock)();
        let agreed = self.coordinator.agreed(kept, self.belief.instances(), clock::now());
        Some(Clock { wall: wall.as_micros().try_into().ok()?, agreed })
    }

    async fn push(&mut self) {
        let (version, windows) = (self.ports.usage)();
        let coordinators = self.coordinators();
        self.pushes.retain(|name, _| coordinators.iter().any(|p| p.name == *name));
        for peer in coordinators.iter().filter(|p| p.name != self.own.name) {
            self.round += 1;
            let round = self.round;
            let push = self.pushes.entry(peer.name.clone()).or_default();
            if push.noted >= version {
                continue;
            }
            (push.round, push.version) = (round, version);
            let mut parts = 0;
            for (window, rows) in &windows {
                for chunk in rows.chunks(USAGE_ROWS) {
                    parts += 1;
                    let (from, rows) = (self.incarnation.clone(), chunk.to_vec());
                    let usage = Usage { from, round, window: *window, rows };
                    self.send(&Message::Usage(usage), peer.address).await;
                }
            }
            let from = self.incarnation.clone();
            self.send(&Message::UsageEnd { round, parts, from }, peer.address).await;
        }
        self.note_usage(version, &coordinators);
    }

    /// Tells which version of the own usage is kept elsewhere: what the holder of the duties has, or
    /// every coordinator while it is not known.
    fn note_usage(&self, version: u64, coordinators: &[Peer]) {
        let others = coordinators.iter().filter(|p| p.name != self.own.name);
        let copied = others.filter_map(|p| self.pushes.get(&p.name)).map(|push| push.noted).max();
        (self.ports.usage_copied)(copied.unwrap_or_default());
        let noted = |name: &str| match name == self.own.name {
            true => version,
            false => self.pushes.get(name).map_or(0, |push| push.noted),
        };
        if let Some(holder) =
            self.holder.as_deref().filter(|h| coordinators.iter().any(|p| p.name == *h))
        {
            return (self.ports.usage_noted)(noted(holder));
        }
        // Not yet known to the others, an instance has told nobody.
        if let Some(least) = coordinators.iter().map(|p| noted(&p.name)).min() {
            (self.ports.usage_noted)(least);
        }
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let context = Context::Datagram(self.own.address);
        let message = match open::<Message>(&self.keys, bytes, context) {
            Ok(message) => message,
            Err(e) => return log::debug!("a datagram from {from} was rejected: {e:?}"),
        };
        match message {
            Message::Question(question) => self.answer(&question, from).await,
            Message::State(state) => self.take_over(&state),
            Message::Entries(part) => {
                let taken = self.assembly.take(part, self.vouched);
                self.offer(taken);
            }
            Message::Changes(part) => {
                let digest = self.belief.digest.load(Ordering::Acquire);
                let known = self.belief.entries.load();
                let taken = self.assembly.change(part, &known, digest, self.vouched);
                self.offer(taken);
            }
            Message::Usage(usage) => {
                self.coordinator.on_usage(&usage);
                (self.ports.collect)(&usage);
            }
            Message::UsageEnd { round, parts, from: sender } => {
                if self.coordinator.usage_complete(&sender, round, parts) {
                    self.send(&Message::Noted { round }, from).await;
                }
            }
            Message::Noted { round } => {
                for push in self.pushes.values_mut().filter(|p| p.round == round) {
                    push.noted = push.version;
                }
            }
        }
    }

    async fn answer(&mut self, question: &Question, from: SocketAddr) {
        let now = clock::now();
        self.coordinator.on_question(question, now);
        (self.ports.suspects_told)(&question.suspects);
        let known = |(version, age): (u64, Duration)| {
            let age = age.as_micros().try_into().ok()?;
            (version != 0).then_some(Known { version, age })
        };
        let belief = &self.belief;
        let config = belief.config.age().map(|a| (belief.revision.load(Ordering::Acquire), a));
        let state = State {
            round: question.round,
            config: config.and_then(known),
            roster: belief.vouched_roster().and_then(known),
            clock: self.clock(),
            suspects: (self.ports.suspects)(),
            figures: self.coordinator.totals(&question.from, &(self.ports.own)(), now),
        };
        self.send(&Message::State(state), from).await;
        self.pass_entries(question.roster, from).await;
    }

    /// Sends what it lacks to an instance that knows other endpoints, by their digest.
    async fn pass_entries(&mut self, known: u64, to: SocketAddr) {
        let vouched = self.belief.vouched_roster().filter(|(_, age)| *age < PASSED_AGE);
        let Some((digest, _)) = vouched else { return };
        self.history.note(digest, &self.belief.entries.load_full());
        if digest == known {
            return;
        }
        for message in self.history.since(known).iter() {
            self.send(message, to).await;
        }
    }

    /// Offers the entries to the belief once all parts are there.
    fn offer(&self, taken: Option<(Vec<Entry>, Mono)>) {
        if let Some((entries, at)) = taken {
            self.belief.offer(entries, at);
        }
    }

    fn take_over(&mut self, state: &State) {
        let Some(told) = self.asker.on_state(state, (self.ports.clock)().0, clock::now()) else {
            return;
        };
        (self.ports.suspects_told)(&state.suspects);
        if let Some(proof) = told.config {
            self.belief.confirm_config(proof.version, proof.at);
        }
        if let Some(proof) = told.roster {
            self.belief.confirm_roster(proof.version, proof.at);
        }
        // A coordinator that is tried again, or asked by one that leads, hears of few instances.
        if !told.current || self.belief.leads() {
            return;
        }
        self.vouched = told.roster;
        if let Some(wall) = told.wall {
            (self.ports.agreed)(wall);
        }
        self.holder = state.figures.holder.clone();
        (self.ports.others)(&state.figures);
    }

    /// Sends a message; one that is too long for a datagram without the load of the endpoints that
    /// have least, since an instance that hears nothing would read everything from the store.
    async fn send(&self, message: &Message, to: SocketAddr) {
        let mut sealed = seal(&self.keys, message, Context::Datagram(to));
        if matches!(sealed, Err(SealError::Large { .. })) {
            let mut shorter = message.clone();
            while matches!(sealed, Err(SealError::Large { .. })) && shorter.shorten() {
                sealed = seal(&self.keys, &shorter, Context::Datagram(to));
            }
        }
        match sealed {
            Ok(bytes) => {
                if let Err(e) = self.socket.send_to(&bytes, to).await {
                    log::debug!("sending to the instance at {to}: {e}");
                }
            }
            Err(e) => {
                log::warn!(event = "message_unsent", cause:% = e; "a message cannot be sealed")
            }
        }
    }
}
