//! What an instance shares with the other instances.
//!
//! Membership runs over UDP and carries the digests of the configuration and of the quarantine;
//! requests over TCP ask for proofs of freshness and fetch heads and chunks. Everything here only
//! moves data between the pure machines: [`agate_member`] decides on members,
//! [`agate_config::spread`] on the configuration and [`agate_flow::quarantine`] on suspects.

mod list;
mod members;

use {
    self::{
        list::List,
        members::{LinkMeter, Live},
    },
    crate::{
        budgets::{self, Budgets},
        census::Listed,
        claims,
        counts::Counts,
    },
    agate_config::{
        compact,
        follow::{Follower, Peers},
        head::{HEAD_KEY, Head},
    },
    agate_flow::{desk::Clock, gate::Gate, suspect::Suspects},
    agate_member::{self as member, Capacity, Client, Handle, Hooks, Scope, Server, Settings},
    agate_once::Once,
    agate_wire::{Answer, Digest, Keys, Name, Place, Query},
    eyre::{Result, WrapErr},
    futures_util::FutureExt,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex, OnceLock, Weak},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Topic of a question for the generation in force and the age of its proof.
const ASK: &str = "config/ask";
/// Topic of the announcement of a generation.
const ANNOUNCE: &str = "config/announce";
/// Topic of a new suspicion.
const SUSPECT: &str = "quarantine";
/// Suspicions that ride on one message.
const CARRIED: usize = 4;
/// Busiest endpoints whose counts ride on one message.
const BUSIEST: usize = 16;
/// Attempts to find a port that is free for both UDP and TCP.
const BIND_TRIES: u32 = 16;

/// A suspicion as instances send it: fingerprint, crashes, time left in milliseconds.
type Suspicion = (u64, u8, u64);

/// Answers a request of another instance by topic and content; none if it is not understood.
pub type Serve = Arc<dyn Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync>;

/// Connection to the other instances. Parts that are made later are set once.
pub struct Mesh {
    follower: OnceLock<Follower>,
    member: OnceLock<Handle>,
    client: OnceLock<Client>,
    once: OnceLock<Once>,
    gate: OnceLock<Weak<Gate>>,
    counts: Mutex<Counts>,
    suspects: Arc<Suspects>,
    usage: OnceLock<Serve>,
    capacity: OnceLock<Capacity>,
    live: Mutex<Live>,
    listed: Mutex<Option<Listed>>,
    list: Mutex<List>,
    links: OnceLock<LinkMeter>,
    /// Told when the platform's list was read.
    pub listing: Notify,
    fleet: OnceLock<Serve>,
    roles: OnceLock<Serve>,
    budgets: OnceLock<Arc<Budgets>>,
    clock: Clock,
    zone: Name,
}

impl Mesh {
    /// Makes a mesh that knows no other instance yet.
    pub fn open(zone: &str, clock: Clock) -> Arc<Self> {
        Arc::new_cyclic(|mesh: &Weak<Self>| Self {
            follower: OnceLock::new(),
            member: OnceLock::new(),
            client: OnceLock::new(),
            once: OnceLock::new(),
            gate: OnceLock::new(),
            counts: Mutex::default(),
            suspects: open_suspects(mesh.clone()),
            usage: OnceLock::new(),
            capacity: OnceLock::new(),
            live: Mutex::default(),
            listed: Mutex::default(),
            list: Mutex::default(),
            links: OnceLock::new(),
            listing: Notify::new(),
            fleet: OnceLock::new(),
            roles: OnceLock::new(),
            budgets: OnceLock::new(),
            clock,
            zone: zone.into(),
        })
    }

    /// Joins the other instances: binds `place`'s address for UDP and TCP.
    pub async fn join(self: &Arc<Self>, name: &str, place: Place, keys: Keys) -> Result<Server> {
        let mut tries = 0;
        loop {
            tries += 1;
            let address = free(place.address).wrap_err("finding a port for other instances")?;
            let found = Place { address, ..place.clone() };
            let settings = Settings { scope: Scope::Region, ..Settings::new(name, found) };
            let again = place.address.port() == 0 && tries < BIND_TRIES;
            let joined = match member::bind(settings, keys.clone(), self.hooks()).await {
                Ok(joined) => joined,
                Err(_) if again => continue,
                Err(e) => return Err(e.into()),
            };
            let identity = joined.identity().clone();
            let mesh = self.clone();
            let handler = move |from, query| {
                let mesh = mesh.clone();
                async move {
                    match query {
                        Query::Other { topic, bytes } if &*topic == claims::TOPIC => {
                            claims::serve(mesh.once.get().cloned(), decode(&bytes)).await
                        }
                        Query::Other { topic, bytes } if &*topic == budgets::TOPIC => {
                            match mesh.budgets.get() {
                                Some(budgets) => budgets.serve(decode(&bytes)).await,
                                None => Answer::Absent,
                            }
                        }
                        query => mesh.serve(&from, query),
                    }
                }
                .boxed()
            };
            match member::serve(identity.clone(), keys.clone(), handler).await {
                Ok(server) => {
                    let _ = self.capacity.set(server.capacity());
                    let _ = self.client.set(Client::new(identity, keys));
                    let _ = self.member.set(joined);
                    return Ok(server);
                }
                // The port may have been taken since it was found.
                Err(_) if again => {}
                Err(e) => return Err(e).wrap_err("listening to other instances"),
            }
        }
    }

    /// Requests that were in flight when endpoints crashed.
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Membership, once joined.
    pub fn member(&self) -> Option<&Handle> {
        self.member.get()
    }

    /// Follower of the configuration, once started.
    pub fn follower(&self) -> Option<&Follower> {
        self.follower.get()
    }

    /// Sets the follower, which needs [`Mesh::peers`] to be made first.
    pub fn follow(&self, follower: Follower) {
        let _ = self.follower.set(follower);
    }

    /// Sets what answers the requests about usage, whose topics begin with `usage/`.
    pub fn serve_usage(&self, serve: Serve) {
        let _ = self.usage.set(serve);
    }

    /// Sets what answers the requests about the fleet, whose topics begin with `fleet/`.
    pub fn serve_fleet(&self, serve: Serve) {
        let _ = self.fleet.set(serve);
    }

    /// Sets what answers the holders of pieces of engines.
    pub fn serve_roles(&self, serve: Serve) {
        let _ = self.roles.set(serve);
    }

    /// Asks another instance about `topic`.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        name: &str,
        topic: &str,
        content: &impl Serialize,
    ) -> Option<T> {
        decode(&self.fetch(name, other(topic, content)).await?)
    }

    /// Sets the budgets that other instances may ask for slices of.
    pub fn serve_budgets(&self, budgets: Arc<Budgets>) {
        let _ = self.budgets.set(budgets);
    }

    /// Sets the claims that other instances may forward to this one.
    pub fn decide_claims(&self, once: Once) {
        let _ = self.once.set(once);
    }

    /// Sets the requests whose counts are exchanged.
    pub fn count(&self, gate: &Arc<Gate>) {
        let _ = self.gate.set(Arc::downgrade(gate));
    }

    /// Ways to other instances for the follower of the configuration.
    pub fn peers(self: &Arc<Self>) -> Peers {
        let (ask, announce, head, chunk) = (self.clone(), self.clone(), self.clone(), self.clone());
        Peers {
            ask: Arc::new(move |name| {
                let mesh = ask.clone();
                async move { decode(&mesh.fetch(&name, other(ASK, &())).await?) }.boxed()
            }),
            announce: Arc::new(move |name, generation| {
                let mesh = announce.clone();
                tokio::spawn(async move { mesh.fetch(&name, other(ANNOUNCE, &generation)).await });
            }),
            head: Arc::new(move |name| {
                let mesh = head.clone();
                async move {
                    let bytes = compact::unpack(&mesh.fetch(&name, Query::Head).await?)?;
                    Head::decode(HEAD_KEY, &bytes).inspect_err(|e| log::warn!("{name}: {e}")).ok()
                }
                .boxed()
            }),
            chunk: Arc::new(move |name, id| {
                let mesh = chunk.clone();
                async move {
                    let hash = blake3::Hash::from_hex(&id).ok()?;
                    let query = Query::Chunk { hash: *hash.as_bytes() };
                    compact::unpack(&mesh.fetch(&name, query).await?)
                }
                .boxed()
            }),
        }
    }

    /// Tells every known member of a suspicion at once; digests spread it to the others.
    pub fn spread_suspicion(self: &Arc<Self>, print: u64, crashes: u8) {
        let left = agate_flow::quarantine::MEMORY.as_millis() as u64;
        let suspicion: Suspicion = (print, crashes, left);
        for member in self.live().iter() {
            let (mesh, name) = (self.clone(), member.name.clone());
            tokio::spawn(async move { mesh.fetch(&name, other(SUSPECT, &suspicion)).await });
        }
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let members = self.member.get()?.members();
        members.iter().find(|m| *m.name == *name).map(|m| m.place.address)
    }

    async fn fetch(&self, name: &str, query: Query) -> Option<Vec<u8>> {
        let address = self.address(name)?;
        match self.client.get()?.fetch(address, query).await {
            Ok(Answer::Bytes(bytes)) => Some(bytes),
            Ok(_) => None,
            Err(e) => {
                log::debug!("asking instance {name}: {e}");
                None
            }
        }
    }

    /// Answers a request of another instance.
    fn serve(&self, from: &Name, query: Query) -> Answer {
        let Some(follower) = self.follower.get() else { return Answer::Absent };
        match query {
            Query::Head => follower
                .head()
                .map_or(Answer::Absent, |h| Answer::Bytes(compact::pack(&h.encode()))),
            Query::Chunk { hash } => {
                let id = blake3::Hash::from_bytes(hash).to_hex();
                follower
                    .chunk(from, &id)
                    .map_or(Answer::Absent, |c| Answer::Bytes(compact::pack(&c)))
            }
            Query::Other { topic, bytes } => self.serve_other(follower, from, &topic, &bytes),
            _ => Answer::Refused,
        }
    }

    fn serve_other(&self, follower: &Follower, from: &Name, topic: &str, bytes: &[u8]) -> Answer {
        match topic {
            ASK => Answer::Bytes(encode(&follower.digest())),
            ANNOUNCE => {
                let Some(generation) = decode(bytes) else { return Answer::Refused };
                follower.hear(from.clone(), (generation, None), None);
                Answer::Accepted
            }
            list::LEAVING => self.leaving().map_or(Answer::Absent, |l| Answer::Bytes(encode(&l))),
            SUSPECT => {
                let Some((print, crashes, left)) = decode(bytes) else { return Answer::Refused };
                self.take_suspicion(print, crashes, Duration::from_millis(left));
                Answer::Accepted
            }
            _ => {
                let serves =
                    [&self.usage, &self.fleet, &self.roles].into_iter().filter_map(OnceLock::get);
                let answer = serves.into_iter().find_map(|serve| serve(topic, bytes));
                answer.map_or(Answer::Refused, Answer::Bytes)
            }
        }
    }

    fn take_suspicion(&self, print: u64, crashes: u8, left: Duration) {
        let now = (self.clock)();
        self.suspects.state().merge(print, crashes, left, now);
    }

    fn hooks(self: &Arc<Self>) -> Hooks {
        let (supply, deliver) = (Arc::downgrade(self), Arc::downgrade(self));
        Hooks {
            supply: Arc::new(move || supply.upgrade().map_or_else(Vec::new, |m| m.digests())),
            deliver: Arc::new(move |from, digests, since| {
                if let Some(mesh) = deliver.upgrade() {
                    mesh.hear(from, digests, since);
                }
            }),
        }
    }

    fn digests(&self) -> Vec<Digest> {
        let config = self.follower.get().map(|f| {
            let (generation, age) = f.digest();
            Digest::Config { generation, age }
        });
        let newest = self.suspects.state().newest(CARRIED, (self.clock)());
        let suspects = newest.into_iter().map(|(fingerprint, crashes, left)| Digest::Quarantine {
            fingerprint,
            crashes,
            left,
        });
        let busiest = self.gate().map(|g| g.outstanding(BUSIEST)).unwrap_or_default();
        let counts =
            busiest.into_iter().map(|(endpoint, count)| Digest::Outstanding { endpoint, count });
        config.into_iter().chain(suspects).chain(counts).collect()
    }

    fn gate(&self) -> Option<Arc<Gate>> {
        self.gate.get()?.upgrade()
    }

    /// Renews the counts of other instances and this instance's part of the free slots.
    pub fn exchange_counts(&self) {
        let Some(gate) = self.gate() else { return };
        let live: Vec<Name> = self.live().iter().map(|m| m.name.clone()).collect();
        let foreign = {
            let mut counts = self.counts.lock().expect("no panic under the counts' lock");
            counts.expire(&live, (self.clock)());
            counts.total()
        };
        gate.exchange(&foreign, live.len() as u32 + 1);
    }

    fn hear(&self, from: &Name, digests: &[Digest], since: Option<Duration>) {
        let mut counts = self.counts.lock().expect("no panic under the counts' lock");
        counts.hear(from, digests, (self.clock)());
        drop(counts);
        for digest in digests {
            match digest {
                Digest::Config { generation, age } => {
                    if let Some(follower) = self.follower.get() {
                        follower.hear(from.clone(), (*generation, *age), since);
                    }
                }
                Digest::Quarantine { fingerprint, crashes, left } => {
                    self.take_suspicion(*fingerprint, *crashes, *left);
                }
                Digest::Outstanding { .. } => {}
            }
        }
    }
}

/// Makes the quarantine, whose new suspicions `mesh` spreads.
fn open_suspects(mesh: Weak<Mesh>) -> Arc<Suspects> {
    Suspects::open(move |print, crashes| {
        if let Some(mesh) = mesh.upgrade() {
            mesh.spread_suspicion(print, crashes);
        }
    })
}

fn other(topic: &str, content: &impl Serialize) -> Query {
    Query::Other { topic: topic.into(), bytes: encode(content) }
}

/// Encodes content of a request between instances.
pub fn encode(content: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(content).expect("plain values encode")
}

/// Decodes content of a request between instances.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// `address`, with a port that is free for TCP if it asks for any.
///
/// Ports of connections that were closed lately are free for UDP and not for TCP, so a port is
/// sought where fewer are free.
fn free(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() == 0 { TcpListener::bind(address)?.local_addr() } else { Ok(address) }
}
