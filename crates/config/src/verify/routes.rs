//! Checks of routes.

use {
    super::{Problems, bounds},
    crate::doc::{Document, KeyRequirement, PoolKind, Route, RouteKind},
    indexmap::{IndexMap, IndexSet},
};

/// HTTP methods that a route may accept.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

pub fn routes(doc: &Document, problems: &mut Problems) {
    problems.check_count("routes", doc.routes.len(), bounds::ROUTES);
    let mut seen = IndexMap::new();
    for (i, route) in doc.routes.iter().enumerate() {
        if let Err(e) = super::text::path(&route.path) {
            problems.add(format!("routes[{i}].path"), e);
        }
        // A path selects one route for all methods, so a second route with the same path is never
        // reached.
        if let Some(first) = seen.insert(&route.path, i) {
            problems.add(
                format!("routes[{i}].path"),
                format!("never reached: routes[{first}] has the same path {:?}", route.path),
            );
        }
        methods(i, route, problems);
        target(i, route, doc, problems);
        idempotency(i, route, problems);
    }
}

fn methods(i: usize, route: &Route, problems: &mut Problems) {
    let place = || format!("routes[{i}].methods");
    problems.check(!route.methods.is_empty(), place, || "never reached: no method".into());
    let mut seen = IndexSet::new();
    for method in &route.methods {
        let known = METHODS.contains(&method.as_str());
        problems.check(known, place, || format!("{method:?} is not one of {METHODS:?}"));
        problems.check(seen.insert(method), place, || format!("{method:?} is listed twice"));
    }
}

fn target(i: usize, route: &Route, doc: &Document, problems: &mut Problems) {
    let place = || format!("routes[{i}].pool");
    match (route.kind, &route.pool) {
        (RouteKind::Model, None) => {}
        (RouteKind::Model, Some(_)) => {
            problems.add(place(), "a model route takes its pool from the model");
        }
        (RouteKind::Service, None) => problems.add(place(), "a service route needs a pool"),
        (RouteKind::Service, Some(pool)) => {
            let found = doc.fleet.pools.get(pool).map(|p| p.kind);
            let holds = found == Some(PoolKind::Service);
            problems.check(holds, place, || format!("no pool of services {pool:?}"));
        }
    }
    problems.check(
        !(route.open && route.kind == RouteKind::Model),
        || format!("routes[{i}].open"),
        || "a model request is charged to an organisation, so its route needs a key".into(),
    );
}

fn idempotency(i: usize, route: &Route, problems: &mut Problems) {
    problems.check(
        !(route.idempotent && route.booking == KeyRequirement::Required),
        || format!("routes[{i}].booking"),
        || "an idempotent route needs no idempotency key".into(),
    );
    problems.check(
        !(route.open && route.booking == KeyRequirement::Required),
        || format!("routes[{i}].booking"),
        || "an idempotency key belongs to an organisation, so its route cannot be open".into(),
    );
    problems.check(
        !route.deadline.is_zero() && route.deadline <= bounds::DEADLINE,
        || format!("routes[{i}].deadline"),
        || format!("{:?} is not above zero and at most {:?}", route.deadline, bounds::DEADLINE),
    );
}
