//! Load reports, cache events, orders, cancellation and KV cache transfer.

use {
    super::{
        state::{OrderEntry, OrderKind, RunState, Shared, State},
        text,
    },
    crate::server::{self, HttpRequest},
    http::StatusCode,
    serde::Deserialize,
    serde_json::json,
    std::{sync::Arc, time::Instant},
    volo_http::response::Response,
};

/// KV cache size of one prompt block in bytes.
const BLOCK_BYTES: usize = text::BLOCK_TOKENS * 128 * 1024;

#[derive(Deserialize)]
struct Target {
    id: String,
    #[serde(default)]
    handle: String,
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    id: String,
    kind: OrderKind,
    #[serde(default)]
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    role: String,
}

/// Handles `POST /v1/cancel`.
pub(super) fn cancel(shared: &Shared, req: &HttpRequest) -> Response {
    let target: Target = match req.json() {
        Ok(t) => t,
        Err(status) => return server::empty(status),
    };
    let s = shared.lock();
    for (entry, end_signal) in &s.running {
        if s.log[*entry].id == target.id {
            end_signal.send_replace(Some(RunState::Cancelled));
        }
    }
    server::empty(StatusCode::NO_CONTENT)
}

/// Handles `GET /load`.
pub(super) fn load(shared: &Shared) -> Response {
    let load = shared.lock().reported_load();
    server::json(StatusCode::OK, &json!(load))
}

/// Handles `GET /cache/events`.
pub(super) fn events(shared: &Shared, req: &HttpRequest) -> Response {
    let after = req.param("after").and_then(|a| a.parse().ok()).unwrap_or(0u64);
    let s = shared.lock();
    let fresh: Vec<_> = s.events.iter().filter(|e| e.sequence > after).collect();
    let oldest = s.events.front().map_or(s.sequence + 1, |e| e.sequence);
    server::json(StatusCode::OK, &json!({ "events": fresh, "oldest": oldest }))
}

/// Handles `GET /admin/state`.
pub(super) fn admin_state(shared: &Shared) -> Response {
    let s = shared.lock();
    let models: Vec<_> = s.models.iter().map(|(n, v)| json!({ "name": n, "version": v })).collect();
    let value = json!({
        "fence": s.fence,
        "role": s.role,
        "draining": s.draining,
        "models": models,
        "order": s.order,
    });
    server::json(StatusCode::OK, &value)
}

/// Handles `POST /admin/order`. An accepted order is completed even if its caller disconnects.
pub(super) async fn order(shared: &Arc<Shared>, req: &HttpRequest) -> Response {
    let order: Order = match req.json() {
        Ok(o) => o,
        Err(status) => return server::empty(status),
    };
    let index = match accept(shared, &order) {
        Ok(i) => i,
        Err(status) => return server::empty(status),
    };
    let shared = shared.clone();
    let work = tokio::spawn(async move {
        tokio::time::sleep(shared.settings.order_time).await;
        execute(&shared, &order, index)
    });
    let done = work.await.unwrap_or(false);
    server::empty(if done { StatusCode::OK } else { StatusCode::INTERNAL_SERVER_ERROR })
}

/// Logs the order and accepts it; returns its log index, or the status of the refusal.
fn accept(shared: &Shared, order: &Order) -> Result<usize, StatusCode> {
    let mut s = shared.lock();
    let enforced = shared.settings.fenced && !s.faults.ignore_fence;
    let stale = enforced && order.fence < s.fence;
    let busy = s.order.is_some();
    let entry = OrderEntry {
        fence: order.fence,
        previous_fence: s.fence,
        id: order.id.clone(),
        kind: order.kind,
        accepted: !stale && !busy,
        done: false,
        start: Instant::now(),
        end: None,
    };
    s.orders.push(entry);
    if stale {
        return Err(StatusCode::CONFLICT);
    }
    s.fence = s.fence.max(order.fence);
    if busy {
        return Err(StatusCode::LOCKED);
    }
    s.order = Some(order.id.clone());
    Ok(s.orders.len() - 1)
}

/// Executes an accepted order. Returns false if the engine crashed meanwhile.
fn execute(shared: &Arc<Shared>, order: &Order, index: usize) -> bool {
    let mut s = shared.lock();
    if s.order.as_ref() != Some(&order.id) {
        return false;
    }
    if std::mem::take(&mut s.faults.crash_order) {
        drop(s);
        shared.crash();
        return false;
    }
    apply(&mut s, order);
    s.orders[index].done = true;
    s.end_order();
    s.record_load();
    true
}

fn apply(s: &mut State, order: &Order) {
    match order.kind {
        OrderKind::Load => {
            s.models.insert(order.model.clone(), order.version.clone());
        }
        OrderKind::Unload => {
            s.models.shift_remove(&order.model);
        }
        OrderKind::Role => {
            s.end_all(RunState::Evicted);
            s.role = order.role.clone();
        }
        OrderKind::Drain => s.draining = true,
        OrderKind::Undrain => s.draining = false,
    }
}

/// Handles `POST /kv/export`. The handle is the list of the cached blocks' hashes.
pub(super) fn export(shared: &Shared, req: &HttpRequest) -> Response {
    let target: Target = match req.json() {
        Ok(t) => t,
        Err(status) => return server::empty(status),
    };
    let s = shared.lock();
    if !s.log.iter().any(|e| e.id == target.id) {
        return server::empty(StatusCode::NOT_FOUND);
    }
    let blocks = s.exports.get(&target.id).cloned().unwrap_or_default();
    let handle = blocks.iter().map(|b| format!("{b:x}")).collect::<Vec<_>>().join("-");
    let bytes = blocks.len() * BLOCK_BYTES;
    server::json(StatusCode::OK, &json!({ "handle": handle, "bytes": bytes }))
}

/// Handles `POST /kv/import`.
pub(super) fn import(shared: &Shared, req: &HttpRequest) -> Response {
    let target: Target = match req.json() {
        Ok(t) => t,
        Err(status) => return server::empty(status),
    };
    let parts = target.handle.split('-').filter(|p| !p.is_empty());
    let blocks: Result<Vec<u64>, _> = parts.map(|p| u64::from_str_radix(p, 16)).collect();
    let Ok(blocks) = blocks else { return server::empty(StatusCode::BAD_REQUEST) };
    shared.lock().cache_lookup(&blocks);
    server::empty(StatusCode::OK)
}
