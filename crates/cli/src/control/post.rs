//! Pieces of engines as the configuration declares them.

use {
    agate_config::{
        doc::{Role, Roles},
        snapshot::Snapshot,
    },
    agate_core::ZoneId,
    agate_ctl as ctl,
    indexmap::IndexMap,
    std::{net::SocketAddr, time::Duration},
};

/// Longest life of an order.
pub const ORDER_LIFE: Duration = Duration::from_secs(3);

/// An engine as the document lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address.
    pub address: SocketAddr,
    /// Role in the document.
    pub role: ctl::Role,
}

/// One piece of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Post {
    /// Name of the piece and of its lease.
    pub name: String,
    /// Name of the pool.
    pub pool: String,
    /// Whether its engines refuse an old fencing token.
    pub fenced: bool,
    /// What the document says of the roles.
    pub roles: Roles,
    /// Its engines.
    pub engines: Vec<Listed>,
}

/// All pieces of the pools whose roles are to be controlled.
pub fn posts(snapshot: &Snapshot) -> IndexMap<String, Post> {
    let mut out = IndexMap::new();
    for (_, pool) in snapshot.pools() {
        let Some(roles) = &pool.roles else { continue };
        for id in &pool.endpoints {
            let Some(engine) = snapshot.endpoint(*id) else { continue };
            let Some(role) = role(engine.role) else { continue };
            let index = roles.piece(&engine.name);
            let name = format!("roles/{}/{index}", pool.name);
            let post = out.entry(name.clone()).or_insert_with(|| Post {
                name,
                pool: pool.name.to_string(),
                fenced: pool.fenced,
                roles: roles.clone(),
                engines: Vec::new(),
            });
            let (name, zone, address) = (engine.name.to_string(), engine.zone, engine.address);
            post.engines.push(Listed { name, zone, address, role });
        }
    }
    out
}

fn role(role: Role) -> Option<ctl::Role> {
    match role {
        Role::Both => None,
        Role::Prefill => Some(ctl::Role::Prefill),
        Role::Decode => Some(ctl::Role::Decode),
    }
}

/// A role as the document names it.
pub fn named(role: ctl::Role) -> Role {
    match role {
        ctl::Role::Prefill => Role::Prefill,
        ctl::Role::Decode => Role::Decode,
    }
}

impl Post {
    /// The controller of this piece, without authority.
    pub fn piece(&self) -> ctl::Piece {
        let settings = ctl::Settings {
            prefill_rate: self.roles.prefill.into(),
            decode_rate: self.roles.decode.into(),
            away: self.roles.away,
            dwell: self.roles.dwell,
            order_life: ORDER_LIFE,
            ..ctl::Settings::default()
        };
        let engines = self.engines.iter().map(|e| ctl::Engine::new(&*e.name, e.zone, e.role));
        ctl::Piece::new(settings, engines.collect())
    }
}
