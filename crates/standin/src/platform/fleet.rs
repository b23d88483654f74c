//! Fleet, usage and instance list: plain tables, with lists that lag.

use {
    super::{Shared, supply::Supply},
    crate::server::{self, Call},
    http::StatusCode,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    volo_http::response::Response,
};

/// Past lists that are kept to answer with a lag.
const LISTS_KEPT: usize = 256;

/// An endpoint as the fleet lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Pool.
    pub pool: String,
    /// `standard` or `cheap`.
    pub kind: String,
    /// Address.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
    /// Milliseconds until the endpoint is taken away.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for other instances.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// An order that the fleet took.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct FleetOrder {
    /// Availability zone.
    pub zone: String,
    /// Pool.
    pub pool: String,
    /// `standard` or `cheap`.
    pub kind: String,
    /// Number of endpoints.
    pub count: u32,
    /// Idempotency token.
    pub token: String,
}

/// A usage report that was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageEntry {
    /// Billing window.
    pub window: String,
    /// Usage shard.
    pub shard: String,
    /// What was reported.
    pub figures: Value,
    /// Idempotency token.
    pub token: String,
    /// Whether it differs from an earlier report of the same window and shard.
    pub conflict: bool,
}

#[derive(Deserialize)]
struct Report {
    window: Value,
    shard: Value,
    figures: Value,
    #[serde(default)]
    token: Value,
}

#[derive(Deserialize)]
struct Release {
    endpoint: String,
    token: String,
}

/// A list with its past.
type Past<T> = Vec<(Instant, Vec<T>)>;

#[derive(Default)]
pub(crate) struct Fleet {
    pub orders: Vec<FleetOrder>,
    pub releases: Vec<String>,
    pub usage: Vec<UsageEntry>,
    tokens: IndexMap<String, String>,
    sealed: IndexMap<(String, String), Value>,
    endpoints: Past<FleetEndpoint>,
    instances: Past<Instance>,
    /// When leaving endpoints are taken away.
    ends: IndexMap<String, Instant>,
    pub supply: Option<Supply>,
}

impl Fleet {
    pub(super) fn set_instances(&mut self, list: Vec<Instance>) {
        push(&mut self.instances, list);
    }

    pub(super) fn set_endpoints(&mut self, list: Vec<FleetEndpoint>) {
        push(&mut self.endpoints, list);
    }

    /// Takes an order once per token; its identifier, and whether it is new.
    fn order(&mut self, order: FleetOrder) -> (String, bool) {
        if let Some(id) = self.tokens.get(&order.token) {
            return (id.clone(), false);
        }
        let id = format!("order-{}", self.orders.len() + 1);
        self.tokens.insert(order.token.clone(), id.clone());
        self.orders.push(order);
        (id, true)
    }

    /// Takes a release once per token; whether it is new.
    fn release(&mut self, release: Release) -> bool {
        let new = self.tokens.insert(release.token, release.endpoint.clone()).is_none();
        if new {
            self.releases.push(release.endpoint);
        }
        new
    }

    /// The newest list.
    fn present(&self) -> Vec<FleetEndpoint> {
        self.endpoints.last().map(|(_, l)| l.clone()).unwrap_or_default()
    }

    pub(super) fn add(&mut self, endpoint: FleetEndpoint) {
        let mut list = self.present();
        list.push(endpoint);
        push(&mut self.endpoints, list);
    }

    pub(super) fn remove(&mut self, name: &str) {
        let mut list = self.present();
        list.retain(|e| e.name != name);
        push(&mut self.endpoints, list);
    }

    /// Marks the cheap endpoints of a zone as leaving at `end`; returns their names.
    pub(super) fn announce(&mut self, zone: &str, end: Instant) -> Vec<String> {
        let mut list = self.present();
        let mut names = Vec::new();
        for e in list.iter_mut().filter(|e| e.zone == zone && e.kind == "cheap") {
            e.state = "leaving".into();
            self.ends.insert(e.name.clone(), end);
            names.push(e.name.clone());
        }
        push(&mut self.endpoints, list);
        names
    }

    /// The list as of `lag` ago, with the time that is left to leaving endpoints.
    fn listed(&self, lag: Duration) -> Vec<FleetEndpoint> {
        let mut list = seen(&self.endpoints, lag).to_vec();
        for e in list.iter_mut().filter(|e| e.state == "leaving") {
            let end = self.ends.get(&e.name);
            let left = end.map(|t| t.saturating_duration_since(Instant::now()).as_millis() as u64);
            e.leaving_ms = left.or(e.leaving_ms);
        }
        list
    }

    /// Keeps a report; true if it conflicts with an earlier one.
    fn report(&mut self, report: Report) -> bool {
        let key = (plain(&report.window), plain(&report.shard));
        let first = self.sealed.entry(key.clone()).or_insert_with(|| report.figures.clone());
        let conflict = *first != report.figures;
        self.usage.push(UsageEntry {
            window: key.0,
            shard: key.1,
            figures: report.figures,
            token: plain(&report.token),
            conflict,
        });
        conflict
    }
}

/// Text of a JSON string or number.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn push<T>(past: &mut Past<T>, list: Vec<T>) {
    if past.len() == LISTS_KEPT {
        past.remove(0);
    }
    past.push((Instant::now(), list));
}

/// The list as of `lag` ago, empty if it had not been set.
fn seen<T>(past: &Past<T>, lag: Duration) -> &[T] {
    past.iter().rev().find(|(at, _)| at.elapsed() >= lag).map_or(&[], |(_, l)| l)
}

/// Answers one call outside `/store/v1`.
pub(super) fn answer(shared: &Arc<Shared>, call: &Call) -> Response {
    route(shared, call).unwrap_or_else(server::empty)
}

fn route(shared: &Arc<Shared>, call: &Call) -> Result<Response, StatusCode> {
    let faults = shared.faults();
    let mut fleet = shared.fleet();
    let done = server::empty(StatusCode::NO_CONTENT);
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/fleet/v1/order") => {
            let order: FleetOrder = call.json()?;
            if faults.no_cheap && order.kind == "cheap" {
                return Err(StatusCode::CONFLICT);
            }
            let (id, new) = fleet.order(order.clone());
            drop(fleet);
            if new {
                shared.deliver(id.clone(), order);
            }
            Ok(server::json(StatusCode::OK, &json!({ "order": id })))
        }
        ("POST", "/fleet/v1/release") => {
            let release: Release = call.json()?;
            let name = release.endpoint.clone();
            let new = fleet.release(release);
            drop(fleet);
            if new {
                shared.take_away(&name);
            }
            Ok(done)
        }
        ("GET", "/fleet/v1/endpoints") => {
            let list = fleet.listed(faults.list_lag);
            Ok(server::json(StatusCode::OK, &json!({ "endpoints": list })))
        }
        ("POST", "/usage/v1/report") => match fleet.report(call.json()?) {
            true => Err(StatusCode::CONFLICT),
            false => Ok(done),
        },
        ("GET", "/instances/v1") => {
            let list = seen(&fleet.instances, faults.list_lag);
            Ok(server::json(StatusCode::OK, &json!({ "instances": list })))
        }
        _ => Err(StatusCode::NOT_FOUND),
    }
}
