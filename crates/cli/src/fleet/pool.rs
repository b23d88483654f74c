//! Converts a pool of the document to the controller's types for one region.

use {
    agate_config::{
        Document,
        doc::{Degrade, EndpointKind},
    },
    agate_fleet::{Endpoint, EndpointState, Kind, Name, Prices, Settings, Work, WorkKind},
    agate_native::fleet::{self as platform, State},
};

/// Returns the controller settings of a pool; `None` if it takes no orders in the region.
pub fn settings(document: &Document, pool: &str, region: &str) -> Option<Settings> {
    let orders = document.fleet.pools.get(pool)?.orders.as_ref()?;
    let own = |zone: &&String| document.fleet.zones.get(*zone).is_some_and(|z| z.region == region);
    let zones: Vec<&str> = orders.zones.iter().filter(own).map(String::as_str).collect();
    if zones.is_empty() {
        return None;
    }
    let kind = match orders.degrade {
        Degrade::Long => WorkKind::Long,
        Degrade::Deadline => WorkKind::Deadline,
    };
    let base = Settings::new(pool, &zones, orders.rate);
    Some(Settings {
        min: orders.min,
        max: orders.max,
        kinds: orders.kinds.iter().copied().map(kind_of).collect(),
        prices: Prices { standard: orders.prices.standard, cheap: orders.prices.cheap },
        budget: orders.budget,
        degrade: vec![Work { kind, class: "".into() }],
        lag: orders.lag,
        hold: orders.hold,
        arrival_timeout: orders.lag * 2 + base.retry * 10,
        ..base
    })
}

/// Returns the endpoints of a pool in the region: the declared ones and those on the platform's
/// list.
pub fn endpoints(
    document: &Document,
    pool: &str,
    region: &str,
    listed: &[platform::Endpoint],
) -> Vec<Endpoint> {
    let own = |zone: &str| document.fleet.zones.get(zone).is_some_and(|z| z.region == region);
    let declared = document.fleet.endpoints.iter();
    let declared =
        declared.filter(|(_, e)| e.pool == pool && own(&e.zone)).map(|(n, e)| Endpoint {
            name: name(n),
            zone: name(&e.zone),
            kind: kind_of(e.kind),
            state: if e.leaving { EndpointState::Leaving } else { EndpointState::Live },
            declared: true,
        });
    let new = |e: &&platform::Endpoint| !document.fleet.endpoints.contains_key(&e.name);
    let listed = listed.iter().filter(|e| e.pool == pool && own(&e.zone)).filter(new);
    let listed = listed.map(|e| Endpoint {
        name: name(&e.name),
        zone: name(&e.zone),
        kind: match e.kind {
            platform::Kind::Standard => Kind::Standard,
            platform::Kind::Cheap => Kind::Cheap,
        },
        state: match e.state {
            State::Ordered => EndpointState::Ordered,
            State::Live => EndpointState::Live,
            State::Leaving => EndpointState::Leaving,
        },
        declared: false,
    });
    declared.chain(listed).collect()
}

fn kind_of(kind: EndpointKind) -> Kind {
    match kind {
        EndpointKind::Standard => Kind::Standard,
        EndpointKind::Cheap => Kind::Cheap,
    }
}

fn name(text: &str) -> Name {
    text.into()
}
