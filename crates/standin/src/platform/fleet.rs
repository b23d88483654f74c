//! Fleet, usage and instance list: plain tables, with lists that lag.

use {
    super::Shared,
    crate::server::{self, Call},
    http::StatusCode,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
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
}

impl Fleet {
    pub(super) fn set_instances(&mut self, list: Vec<Instance>) {
        push(&mut self.instances, list);
    }

    pub(super) fn set_endpoints(&mut self, list: Vec<FleetEndpoint>) {
        push(&mut self.endpoints, list);
    }

    /// Takes an order once per token and returns its identifier.
    fn order(&mut self, order: FleetOrder) -> String {
        if let Some(id) = self.tokens.get(&order.token) {
            return id.clone();
        }
        let id = format!("order-{}", self.orders.len() + 1);
        self.tokens.insert(order.token.clone(), id.clone());
        self.orders.push(order);
        id
    }

    fn release(&mut self, release: Release) {
        if self.tokens.insert(release.token, release.endpoint.clone()).is_none() {
            let mut list = self.endpoints.last().map(|(_, l)| l.clone()).unwrap_or_default();
            list.retain(|e| e.name != release.endpoint);
            push(&mut self.endpoints, list);
            self.releases.push(release.endpoint);
        }
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
pub(super) fn answer(shared: &Shared, call: &Call) -> Response {
    route(shared, call).unwrap_or_else(server::empty)
}

fn route(shared: &Shared, call: &Call) -> Result<Response, StatusCode> {
    let faults = shared.faults();
    let mut fleet = shared.fleet();
    let done = server::empty(StatusCode::NO_CONTENT);
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/fleet/v1/order") => {
            let order: FleetOrder = call.json()?;
            if faults.no_cheap && order.kind == "cheap" {
                return Err(StatusCode::CONFLICT);
            }
            Ok(server::json(StatusCode::OK, &json!({ "order": fleet.order(order) })))
        }
        ("POST", "/fleet/v1/release") => {
            fleet.release(call.json()?);
            Ok(done)
        }
        ("GET", "/fleet/v1/endpoints") => {
            let list = seen(&fleet.endpoints, faults.list_lag);
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
