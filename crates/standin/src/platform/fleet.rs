//! Fleet, usage reports and list of instances, held in memory. Lists can be served with a lag.

use {
    super::{Shared, provisioning::Provisioner},
    crate::server::{self, HttpRequest},
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

/// Maximum number of retained versions of a list, from which lagging lists are served.
const MAX_VERSIONS: usize = 256;

/// An endpoint in the fleet's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the pool.
    pub pool: String,
    /// `standard` or `cheap`.
    pub kind: String,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
    /// Milliseconds until the endpoint is removed, if it is leaving.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub leaving_ms: Option<u64>,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for traffic between instances.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

/// An order for endpoints that the fleet accepted.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct FleetOrder {
    /// Availability zone.
    pub zone: String,
    /// Name of the pool.
    pub pool: String,
    /// `standard` or `cheap`.
    pub kind: String,
    /// Number of endpoints to start.
    pub count: u32,
    /// Idempotency key.
    pub token: String,
}

/// A usage report that was received.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageEntry {
    /// Identifier of the billing window.
    pub window: String,
    /// Identifier of the usage shard.
    pub shard: String,
    /// Reported figures.
    pub figures: Value,
    /// Idempotency key.
    pub token: String,
    /// Whether the figures differ from the first report of the same window and shard.
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

/// Versions of a list, oldest first, each with the time it was set.
type History<T> = Vec<(Instant, Vec<T>)>;

#[derive(Default)]
pub(crate) struct Fleet {
    pub orders: Vec<FleetOrder>,
    pub releases: Vec<String>,
    pub usage: Vec<UsageEntry>,
    /// Results of orders and releases, by idempotency key.
    tokens: IndexMap<String, String>,
    first_reports: IndexMap<(String, String), Value>,
    endpoints: History<FleetEndpoint>,
    instances: History<Instance>,
    /// When leaving endpoints are removed.
    leaving_at: IndexMap<String, Instant>,
    pub provisioner: Option<Provisioner>,
}

impl Fleet {
    pub(super) fn set_instances(&mut self, list: Vec<Instance>) {
        push(&mut self.instances, list);
    }

    pub(super) fn set_endpoints(&mut self, list: Vec<FleetEndpoint>) {
        push(&mut self.endpoints, list);
    }

    /// Accepts an order unless its idempotency key is known. Returns the order's identifier, and
    /// whether it is new.
    fn order(&mut self, order: FleetOrder) -> (String, bool) {
        if let Some(id) = self.tokens.get(&order.token) {
            return (id.clone(), false);
        }
        let id = format!("order-{}", self.orders.len() + 1);
        self.tokens.insert(order.token.clone(), id.clone());
        self.orders.push(order);
        (id, true)
    }

    /// Records a release unless its idempotency key is known. Returns whether it is new.
    fn release(&mut self, release: Release) -> bool {
        let new = self.tokens.insert(release.token, release.endpoint.clone()).is_none();
        if new {
            self.releases.push(release.endpoint);
        }
        new
    }

    /// Latest version of the list of endpoints.
    fn current(&self) -> Vec<FleetEndpoint> {
        self.endpoints.last().map(|(_, l)| l.clone()).unwrap_or_default()
    }

    pub(super) fn add(&mut self, endpoint: FleetEndpoint) {
        let mut list = self.current();
        list.push(endpoint);
        push(&mut self.endpoints, list);
    }

    pub(super) fn remove(&mut self, name: &str) {
        let mut list = self.current();
        list.retain(|e| e.name != name);
        push(&mut self.endpoints, list);
    }

    /// Marks the cheap endpoints of a zone as leaving at `end`; returns their names.
    pub(super) fn mark_leaving(&mut self, zone: &str, end: Instant) -> Vec<String> {
        let mut list = self.current();
        let mut names = Vec::new();
        for e in list.iter_mut().filter(|e| e.zone == zone && e.kind == "cheap") {
            e.state = "leaving".into();
            self.leaving_at.insert(e.name.clone(), end);
            names.push(e.name.clone());
        }
        push(&mut self.endpoints, list);
        names
    }

    /// List of endpoints as of `lag` ago, with the current remaining time of leaving endpoints.
    fn listed(&self, lag: Duration) -> Vec<FleetEndpoint> {
        let mut list = as_of(&self.endpoints, lag).to_vec();
        for e in list.iter_mut().filter(|e| e.state == "leaving") {
            let end = self.leaving_at.get(&e.name);
            let left = end.map(|t| t.saturating_duration_since(Instant::now()).as_millis() as u64);
            e.leaving_ms = left.or(e.leaving_ms);
        }
        list
    }

    /// Records a report. Returns true if its figures differ from the first one's.
    fn report(&mut self, report: Report) -> bool {
        let key = (json_text(&report.window), json_text(&report.shard));
        let first = self.first_reports.entry(key.clone()).or_insert_with(|| report.figures.clone());
        let conflict = *first != report.figures;
        self.usage.push(UsageEntry {
            window: key.0,
            shard: key.1,
            figures: report.figures,
            token: json_text(&report.token),
            conflict,
        });
        conflict
    }
}

/// Formats a JSON string without its quotes, and any other value as JSON.
fn json_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn push<T>(history: &mut History<T>, list: Vec<T>) {
    if history.len() == MAX_VERSIONS {
        history.remove(0);
    }
    history.push((Instant::now(), list));
}

/// List as of `lag` ago; empty if it was not set by then.
fn as_of<T>(history: &History<T>, lag: Duration) -> &[T] {
    history.iter().rev().find(|(at, _)| at.elapsed() >= lag).map_or(&[], |(_, l)| l)
}

/// Handles a request outside `/store/v1`.
pub(super) fn handle(shared: &Arc<Shared>, req: &HttpRequest) -> Response {
    route(shared, req).unwrap_or_else(server::empty)
}

fn route(shared: &Arc<Shared>, req: &HttpRequest) -> Result<Response, StatusCode> {
    let faults = shared.faults();
    let mut fleet = shared.fleet();
    let done = server::empty(StatusCode::NO_CONTENT);
    match (req.method.as_str(), req.path.as_str()) {
        ("POST", "/fleet/v1/order") => {
            let order: FleetOrder = req.json()?;
            if faults.no_cheap && order.kind == "cheap" {
                return Err(StatusCode::CONFLICT);
            }
            let (id, new) = fleet.order(order.clone());
            drop(fleet);
            if new {
                shared.provision(id.clone(), order);
            }
            Ok(server::json(StatusCode::OK, &json!({ "order": id })))
        }
        ("POST", "/fleet/v1/release") => {
            let release: Release = req.json()?;
            let name = release.endpoint.clone();
            let new = fleet.release(release);
            drop(fleet);
            if new {
                shared.remove_endpoint(&name);
            }
            Ok(done)
        }
        ("GET", "/fleet/v1/endpoints") => {
            let list = fleet.listed(faults.list_lag);
            Ok(server::json(StatusCode::OK, &json!({ "endpoints": list })))
        }
        ("POST", "/usage/v1/report") => match fleet.report(req.json()?) {
            true => Err(StatusCode::CONFLICT),
            false => Ok(done),
        },
        ("GET", "/instances/v1") => {
            let list = as_of(&fleet.instances, faults.list_lag);
            Ok(server::json(StatusCode::OK, &json!({ "instances": list })))
        }
        _ => Err(StatusCode::NOT_FOUND),
    }
}
