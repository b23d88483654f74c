//! Communication with the other instances.
//!
//! Membership runs over UDP and carries digests of the configuration, the quarantine and the
//! outstanding requests. Requests over TCP ask for freshness proofs and fetch configuration heads
//! and chunks. This module only transfers data. The logic is in [`agate_member`] for membership,
//! [`agate_config::spread`] for the configuration and [`agate_flow::quarantine`] for suspects.

mod list;
mod members;

use {
    self::{
        list::InstanceList,
        members::{ConnectionMetrics, LiveMembers},
    },
    crate::{
        budgets::{self, BudgetOwners},
        claims,
        instance_count::ListedCounts,
        peer_counts::PeerCounts,
    },
    agate_config::{
        compact,
        follow::{Follower, Peers},
        head::{HEAD_KEY, Head},
    },
    agate_flow::{admission::Clock, proxy_state::ProxyState, suspect::Suspects},
    agate_idempotency::ClaimCoordinator,
    agate_member::{
        self as member, Client, ConnectionLimit, Handle, Hooks, Scope, Server, Settings,
    },
    agate_quarantine::suspicion::Observation,
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

/// Topic of a request for the generation in force and the age of its freshness proof.
const CONFIG_STATE: &str = "config/ask";
/// Topic of the announcement of a new generation.
const ANNOUNCE: &str = "config/announce";
/// Topic of the announcement of a new suspicion.
const SUSPICION: &str = "quarantine";
/// Topic of observations of messages that requests share.
const MESSAGES: &str = "quarantine/messages";
/// Maximum number of suspicions in one membership message.
const MAX_SUSPICIONS: usize = 4;
/// Maximum number of endpoints, busiest first, whose request counts one membership message carries.
const MAX_COUNTS: usize = 16;
/// Maximum number of attempts to find a port that is free for both UDP and TCP.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// A suspicion on the wire: fingerprint, number of crashes, remaining lifetime in milliseconds.
type Suspicion = (u64, u8, u64);

/// Handles another instance's request, given by topic and content; `None` if the topic is unknown
/// or the content malformed.
pub type RequestHandler = Arc<dyn Fn(&str, &[u8]) -> Option<Vec<u8>> + Send + Sync>;

/// Shared state of the communication with other instances. The components in `OnceLock` are created
/// later and set once.
pub struct Mesh {
    follower: OnceLock<Follower>,
    member: OnceLock<Handle>,
    client: OnceLock<Client>,
    once: OnceLock<ClaimCoordinator>,
    proxy_state: OnceLock<Weak<ProxyState>>,
    counts: Mutex<PeerCounts>,
    suspects: Arc<Suspects>,
    usage_handler: OnceLock<RequestHandler>,
    capacity: OnceLock<ConnectionLimit>,
    live: Mutex<LiveMembers>,
    listed: Mutex<Option<ListedCounts>>,
    list: Mutex<InstanceList>,
    connection_metrics: OnceLock<ConnectionMetrics>,
    /// Notified when the platform's list was read.
    pub list_updated: Notify,
    fleet_handler: OnceLock<RequestHandler>,
    roles_handler: OnceLock<RequestHandler>,
    budgets: OnceLock<Arc<BudgetOwners>>,
    clock: Clock,
    zone: Name,
}

impl Mesh {
    /// Creates a mesh without any known instance; `zone` is the instance's own availability zone.
    pub fn open(zone: &str, clock: Clock) -> Arc<Self> {
        Arc::new_cyclic(|mesh: &Weak<Self>| Self {
            follower: OnceLock::new(),
            member: OnceLock::new(),
            client: OnceLock::new(),
            once: OnceLock::new(),
            proxy_state: OnceLock::new(),
            counts: Mutex::default(),
            suspects: create_suspects(mesh.clone()),
            usage_handler: OnceLock::new(),
            capacity: OnceLock::new(),
            live: Mutex::default(),
            listed: Mutex::default(),
            list: Mutex::default(),
            connection_metrics: OnceLock::new(),
            list_updated: Notify::new(),
            fleet_handler: OnceLock::new(),
            roles_handler: OnceLock::new(),
            budgets: OnceLock::new(),
            clock,
            zone: zone.into(),
        })
    }

    /// Joins the other instances: binds the address of `place` for UDP and TCP and starts to serve
    /// requests. With port zero, a port that is free for both is chosen.
    ///
    /// Errors: no address could be bound.
    pub async fn join(self: &Arc<Self>, name: &str, place: Place, keys: Keys) -> Result<Server> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let address =
                find_free_port(place.address).wrap_err("finding a port for other instances")?;
            let found = Place { address, ..place.clone() };
            let settings = Settings { scope: Scope::Region, ..Settings::new(name, found) };
            let again = place.address.port() == 0 && attempts < MAX_BIND_ATTEMPTS;
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
                    let _ = self.capacity.set(server.connection_limit());
                    let _ = self.client.set(Client::new(identity, keys));
                    let _ = self.member.set(joined);
                    return Ok(server);
                }
                // Another process may have bound the port since it was found.
                Err(_) if again => {}
                Err(e) => return Err(e).wrap_err("listening to other instances"),
            }
        }
    }

    /// Fingerprints of requests that were in flight when endpoints crashed.
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// The membership; `None` before [`Mesh::join`].
    pub fn member(&self) -> Option<&Handle> {
        self.member.get()
    }

    /// The configuration's follower; `None` before it is set.
    pub fn follower(&self) -> Option<&Follower> {
        self.follower.get()
    }

    /// Sets the configuration's follower, whose creation needs [`Mesh::peers`].
    pub fn set_follower(&self, follower: Follower) {
        let _ = self.follower.set(follower);
    }

    /// Sets the handler of requests whose topics begin with `usage/`.
    pub fn serve_usage(&self, serve: RequestHandler) {
        let _ = self.usage_handler.set(serve);
    }

    /// Sets the handler of requests whose topics begin with `fleet/`.
    pub fn serve_fleet(&self, serve: RequestHandler) {
        let _ = self.fleet_handler.set(serve);
    }

    /// Sets the handler of requests from the lease holders of engine pieces.
    pub fn serve_roles(&self, serve: RequestHandler) {
        let _ = self.roles_handler.set(serve);
    }

    /// Sends a request with `content` to the instance `name`; `None` if it failed, was refused or
    /// the response is malformed.
    pub async fn ask<T: DeserializeOwned>(
        &self,
        name: &str,
        topic: &str,
        content: &impl Serialize,
    ) -> Option<T> {
        decode(&self.fetch(name, topic_query(topic, content)).await?)
    }

    /// Sets the budgets of which other instances may request slices.
    pub fn serve_budgets(&self, budgets: Arc<BudgetOwners>) {
        let _ = self.budgets.set(budgets);
    }

    /// Sets the coordinator of claims that other instances may forward to this one.
    pub fn serve_claims(&self, once: ClaimCoordinator) {
        let _ = self.once.set(once);
    }

    /// Sets the instance state whose outstanding request counts are exchanged.
    pub fn set_gate(&self, proxy_state: &Arc<ProxyState>) {
        let _ = self.proxy_state.set(Arc::downgrade(proxy_state));
    }

    /// Callbacks by which the configuration's follower reaches other instances.
    pub fn peers(self: &Arc<Self>) -> Peers {
        let (ask, announce, head, chunk) = (self.clone(), self.clone(), self.clone(), self.clone());
        Peers {
            query: Arc::new(move |name| {
                let mesh = ask.clone();
                async move { decode(&mesh.fetch(&name, topic_query(CONFIG_STATE, &())).await?) }
                    .boxed()
            }),
            announce: Arc::new(move |name, generation| {
                let mesh = announce.clone();
                tokio::spawn(
                    async move { mesh.fetch(&name, topic_query(ANNOUNCE, &generation)).await },
                );
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

    /// Announces a suspicion to every live member at once; membership digests repeat it to
    /// instances that miss this message.
    pub fn announce_suspicion(self: &Arc<Self>, fingerprint: u64, crashes: u8) {
        let left = agate_flow::quarantine::RETENTION.as_millis() as u64;
        let suspicion: Suspicion = (fingerprint, crashes, left);
        self.send_to_all(|| topic_query(SUSPICION, &suspicion));
    }

    /// Sends observations of shared messages to every live member.
    pub fn announce_messages(self: &Arc<Self>, observations: &[Observation]) {
        self.send_to_all(|| topic_query(MESSAGES, &observations));
    }

    fn send_to_all(self: &Arc<Self>, query: impl Fn() -> Query) {
        for member in self.live().iter() {
            let (mesh, name, query) = (self.clone(), member.name.clone(), query());
            tokio::spawn(async move { mesh.fetch(&name, query).await });
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
                log::debug!("request to instance {name} failed: {e}");
                None
            }
        }
    }

    /// Handles a request of another instance.
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
            Query::Other { topic, bytes } => self.serve_topic(follower, from, &topic, &bytes),
            _ => Answer::Refused,
        }
    }

    fn serve_topic(&self, follower: &Follower, from: &Name, topic: &str, bytes: &[u8]) -> Answer {
        match topic {
            CONFIG_STATE => Answer::Bytes(encode(&follower.digest())),
            ANNOUNCE => {
                let Some(generation) = decode(bytes) else { return Answer::Refused };
                follower.on_digest(from.clone(), (generation, None), None);
                Answer::Accepted
            }
            list::LEAVING => self.leaving().map_or(Answer::Absent, |l| Answer::Bytes(encode(&l))),
            SUSPICION => {
                let Some((hash, crashes, left)) = decode(bytes) else { return Answer::Refused };
                self.merge_suspicion(hash, crashes, Duration::from_millis(left));
                Answer::Accepted
            }
            MESSAGES => {
                let Some(observations) = decode::<Vec<Observation>>(bytes) else {
                    return Answer::Refused;
                };
                self.suspects.merge_messages(&observations, (self.clock)());
                Answer::Accepted
            }
            _ => {
                let serves = [&self.usage_handler, &self.fleet_handler, &self.roles_handler]
                    .into_iter()
                    .filter_map(OnceLock::get);
                let response = serves.into_iter().find_map(|serve| serve(topic, bytes));
                response.map_or(Answer::Refused, Answer::Bytes)
            }
        }
    }

    fn merge_suspicion(&self, fingerprint: u64, crashes: u8, left: Duration) {
        let now = (self.clock)();
        self.suspects.state().merge(fingerprint, crashes, left, now);
    }

    fn hooks(self: &Arc<Self>) -> Hooks {
        let (supply, deliver) = (Arc::downgrade(self), Arc::downgrade(self));
        Hooks {
            supply: Arc::new(move || supply.upgrade().map_or_else(Vec::new, |m| m.digests())),
            deliver: Arc::new(move |from, digests, since| {
                if let Some(mesh) = deliver.upgrade() {
                    mesh.on_digests(from, digests, since);
                }
            }),
        }
    }

    fn digests(&self) -> Vec<Digest> {
        let config = self.follower.get().map(|f| {
            let (generation, age) = f.digest();
            Digest::Config { generation, age }
        });
        let newest = self.suspects.state().newest(MAX_SUSPICIONS, (self.clock)());
        let suspects = newest.into_iter().map(|(fingerprint, crashes, left)| Digest::Quarantine {
            fingerprint,
            crashes,
            left,
        });
        let busiest = self.proxy_state().map(|g| g.outstanding(MAX_COUNTS)).unwrap_or_default();
        let counts =
            busiest.into_iter().map(|(endpoint, count)| Digest::Outstanding { endpoint, count });
        config.into_iter().chain(suspects).chain(counts).collect()
    }

    fn proxy_state(&self) -> Option<Arc<ProxyState>> {
        self.proxy_state.get()?.upgrade()
    }

    /// Applies the request counts of the other instances and this instance's share of the free
    /// slots.
    pub fn exchange_counts(&self) {
        let Some(proxy_state) = self.proxy_state() else { return };
        let live: Vec<Name> = self.live().iter().map(|m| m.name.clone()).collect();
        let peer_counts = {
            let mut counts = self.counts.lock().expect("no panic under the counts' lock");
            counts.expire(&live, (self.clock)());
            counts.total()
        };
        proxy_state.apply_peer_counts(&peer_counts, live.len() as u32 + 1);
    }

    fn on_digests(&self, from: &Name, digests: &[Digest], since: Option<Duration>) {
        let mut counts = self.counts.lock().expect("no panic under the counts' lock");
        counts.update(from, digests, (self.clock)());
        drop(counts);
        for digest in digests {
            match digest {
                Digest::Config { generation, age } => {
                    if let Some(follower) = self.follower.get() {
                        follower.on_digest(from.clone(), (*generation, *age), since);
                    }
                }
                Digest::Quarantine { fingerprint, crashes, left } => {
                    self.merge_suspicion(*fingerprint, *crashes, *left);
                }
                Digest::Outstanding { .. } => {}
            }
        }
    }
}

/// Creates the quarantine; `mesh` announces its new suspicions.
fn create_suspects(mesh: Weak<Mesh>) -> Arc<Suspects> {
    let observing = mesh.clone();
    Suspects::open(
        move |fingerprint, crashes| {
            if let Some(mesh) = mesh.upgrade() {
                mesh.announce_suspicion(fingerprint, crashes);
            }
        },
        move |observations| {
            if let Some(mesh) = observing.upgrade() {
                mesh.announce_messages(&observations);
            }
        },
    )
}

fn topic_query(topic: &str, content: &impl Serialize) -> Query {
    Query::Other { topic: topic.into(), bytes: encode(content) }
}

/// Encodes the content of a request between instances.
pub fn encode(content: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(content).expect("plain values encode")
}

/// Decodes the content of a request between instances; `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// Returns `address`, with port zero replaced by a port that is free for TCP.
///
/// Ports of recently closed connections are free for UDP but not for TCP, so the port is sought
/// among those free for TCP.
fn find_free_port(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() == 0 { TcpListener::bind(address)?.local_addr() } else { Ok(address) }
}
