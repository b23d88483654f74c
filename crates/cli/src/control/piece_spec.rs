//! Pieces of engines, as declared in the configuration.

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

/// Maximum lifetime of an order.
pub const ORDER_LIFE: Duration = Duration::from_secs(3);

/// An engine as declared in the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredEngine {
    /// Endpoint name of the engine.
    pub name: String,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Address that takes its orders and state reads.
    pub address: SocketAddr,
    /// Declared role.
    pub role: ctl::Role,
}

/// One piece of a pool: a part of its engines, controlled under one lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PieceSpec {
    /// Name of the piece and of its lease.
    pub name: String,
    /// Name of the pool it belongs to.
    pub pool: String,
    /// Whether its engines refuse orders with an old fencing token.
    pub fenced: bool,
    /// Role settings of the pool.
    pub roles: Roles,
    /// Engines of the piece.
    pub engines: Vec<DeclaredEngine>,
}

/// Returns all pieces, by name, of the pools whose roles are controlled.
pub fn piece_specs(snapshot: &Snapshot) -> IndexMap<String, PieceSpec> {
    let mut out = IndexMap::new();
    for (_, pool) in snapshot.pools() {
        let Some(roles) = &pool.roles else { continue };
        for id in &pool.endpoints {
            let Some(engine) = snapshot.endpoint(*id) else { continue };
            let Some(role) = controlled_role(engine.role) else { continue };
            let index = roles.piece(&engine.name);
            let name = format!("roles/{}/{index}", pool.name);
            let spec = out.entry(name.clone()).or_insert_with(|| PieceSpec {
                name,
                pool: pool.name.to_string(),
                fenced: pool.fenced,
                roles: roles.clone(),
                engines: Vec::new(),
            });
            let (name, zone, address) = (engine.name.to_string(), engine.zone, engine.address);
            spec.engines.push(DeclaredEngine { name, zone, address, role });
        }
    }
    out
}

fn controlled_role(role: Role) -> Option<ctl::Role> {
    match role {
        Role::Both => None,
        Role::Prefill => Some(ctl::Role::Prefill),
        Role::Decode => Some(ctl::Role::Decode),
    }
}

/// Converts a controlled role to the configuration's type.
pub fn config_role(role: ctl::Role) -> Role {
    match role {
        ctl::Role::Prefill => Role::Prefill,
        ctl::Role::Decode => Role::Decode,
    }
}

impl PieceSpec {
    /// Creates the controller of this piece, without authority.
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
