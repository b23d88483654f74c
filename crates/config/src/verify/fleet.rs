//! Checks of availability zones, pools and endpoints.

use {
    super::{Problems, bounds},
    crate::doc::{Document, Endpoint, Pool, PoolKind, Role, Roles, Zone},
    indexmap::IndexMap,
    std::net::SocketAddr,
};

pub fn zones(doc: &Document, problems: &mut Problems) {
    let zones = &doc.fleet.zones;
    problems.check_count("fleet.zones", zones.len(), bounds::ZONES);
    for (i, (name, zone)) in zones.iter().enumerate() {
        problems.check_name("fleet.zones", name);
        if let Err(e) = super::text::name(&zone.region) {
            problems.add(format!("fleet.zones.{name}.region"), e);
        }
        delays(name, zone, doc, problems);
        for (other, other_zone) in zones.iter().skip(i + 1) {
            problems.check(
                zone.delays.contains_key(other) || other_zone.delays.contains_key(name),
                || format!("fleet.zones.{name}.delays"),
                || format!("the delay to zone {other:?} is missing"),
            );
        }
    }
}

fn delays(name: &str, zone: &Zone, doc: &Document, problems: &mut Problems) {
    for (other, delay) in &zone.delays {
        let place = || format!("fleet.zones.{name}.delays.{other}");
        problems.check(other != name, place, || "a zone has no delay to itself".into());
        let known = doc.fleet.zones.contains_key(other);
        problems.check(known, place, || format!("no availability zone {other:?}"));
        let bound = bounds::DELAY;
        problems.check(*delay <= bound, place, || format!("{delay:?} is above {bound:?}"));
    }
}

pub fn pools(doc: &Document, problems: &mut Problems) {
    problems.check_count("fleet.pools", doc.fleet.pools.len(), bounds::POOLS);
    for (name, pool) in &doc.fleet.pools {
        problems.check_name("fleet.pools", name);
        problems.check(
            (1..=bounds::SLOTS).contains(&pool.slots),
            || format!("fleet.pools.{name}.slots"),
            || format!("{} is not between 1 and {}", pool.slots, bounds::SLOTS),
        );
        problems.check(
            pool.kind == PoolKind::Engine || !pool.fenced,
            || format!("fleet.pools.{name}.fenced"),
            || "services take no orders, so they check no fencing token".into(),
        );
        if let Some(wanted) = &pool.roles {
            roles(name, pool, wanted, doc, problems);
        }
    }
}

fn roles(name: &str, pool: &Pool, roles: &Roles, doc: &Document, problems: &mut Problems) {
    let place = |field: &str| format!("fleet.pools.{name}.roles{field}");
    let engines = pool.kind == PoolKind::Engine;
    problems.check(engines, || place(""), || "only engines have a role".into());
    for (field, rate) in [("prefill", roles.prefill), ("decode", roles.decode)] {
        problems.check(rate > 0, || place(&format!(".{field}")), || "must be above zero".into());
    }
    for (field, time) in [("away", roles.away), ("dwell", roles.dwell)] {
        problems.check(
            !time.is_zero() && time <= bounds::DEADLINE,
            || place(&format!(".{field}")),
            || format!("{time:?} is not above zero and at most {:?}", bounds::DEADLINE),
        );
    }
    let most = bounds::PIECES;
    let fits = (1..=most).contains(&roles.pieces);
    problems.check(fits, || place(".pieces"), || format!("accepted are 1 to {most}"));
    let mut sizes = IndexMap::<u32, usize>::new();
    for (engine, e) in doc.fleet.endpoints.iter().filter(|(_, e)| e.pool == name) {
        *sizes.entry(roles.piece(engine)).or_default() += 1;
        problems.check(
            e.role != Role::Both,
            || format!("fleet.endpoints.{engine}.role"),
            || "an engine whose role is controlled starts as prefill or decode".into(),
        );
    }
    let largest = sizes.values().copied().max().unwrap_or_default();
    problems.check(
        largest <= bounds::PIECE,
        || place(".pieces"),
        || format!("a piece would have {largest} engines, at most {}", bounds::PIECE),
    );
}

pub fn endpoints(doc: &Document, problems: &mut Problems) {
    problems.check_count("fleet.endpoints", doc.fleet.endpoints.len(), bounds::ENDPOINTS);
    let mut seen = IndexMap::<SocketAddr, &str>::new();
    for (name, endpoint) in &doc.fleet.endpoints {
        problems.check_name("fleet.endpoints", name);
        references(name, endpoint, doc, problems);
        let place = || format!("fleet.endpoints.{name}.address");
        let address = endpoint.address;
        let ip = address.ip();
        problems.check(
            address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast(),
            place,
            || format!("{address} cannot be connected to"),
        );
        if let Some(other) = seen.insert(address, name) {
            problems.add(place(), format!("{address} is also the address of {other:?}"));
        }
    }
}

fn references(name: &str, endpoint: &Endpoint, doc: &Document, problems: &mut Problems) {
    let pool = doc.fleet.pools.get(&endpoint.pool);
    problems.check(
        pool.is_some(),
        || format!("fleet.endpoints.{name}.pool"),
        || format!("no pool {:?}", endpoint.pool),
    );
    problems.check(
        doc.fleet.zones.contains_key(&endpoint.zone),
        || format!("fleet.endpoints.{name}.zone"),
        || format!("no availability zone {:?}", endpoint.zone),
    );
    let service = pool.is_some_and(|p| p.kind == PoolKind::Service);
    problems.check(
        !service || endpoint.role == Role::Both,
        || format!("fleet.endpoints.{name}.role"),
        || "only engines have a role".into(),
    );
}
