//! Serves load reports, cache events, orders and KV transfer.

use {
    super::{
        state::{OrderEntry, OrderKind, RunState, Shared, State},
        text,
    },
    crate::server::{self, Call},
    http::StatusCode,
    serde::Deserialize,
    serde_json::json,
    std::{sync::Arc, time::Instant},
    volo_http::response::Response,
};

/// Bytes of KV cache that one prompt block takes.
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

/// Answers `POST /v1/cancel`.
pub(super) fn cancel(shared: &Shared, call: &Call) -> Response {
    let target: Target = match call.json() {
        Ok(t) => t,
        Err(status) => return server::empty(status),
    };
    let s = shared.lock();
    for (entry, ending) in &s.running {
        if s.log[*entry].id == target.id {
            ending.send_replace(Some(RunState::Cancelled));
        }
    }
    server::empty(StatusCode::NO_CONTENT)
}

/// Answers `GET /load`.
pub(super) fn load(shared: &Shared) -> Response {
    let load = shared.lock().reported();
    server::json(StatusCode::OK, &json!(load))
}

/// Answers `GET /cache/events`.
pub(super) fn events(shared: &Shared, call: &Call) -> Response {
    let after = call.param("after").and_then(|a| a.parse().ok()).unwrap_or(0u64);
    let s = shared.lock();
    let fresh: Vec<_> = s.events.iter().filter(|e| e.sequence > after).collect();
    let oldest = s.events.front().map_or(s.sequence + 1, |e| e.sequence);
    server::json(StatusCode::OK, &json!({ "events": fresh, "oldest": oldest }))
}

/// Answers `GET /admin/state`.
pub(super) fn describe(shared: &Shared) -> Response {
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

/// Answers `POST /admin/order`; an order whose caller leaves is still carried out.
pub(super) async fn order(shared: &Arc<Shared>, call: &Call) -> Response {
    let order: Order = match call.json() {
        Ok(o) => o,
        Err(status) => return server::empty(status),
    };
    let index = match take(shared, &order) {
        Ok(i) => i,
        Err(status) => return server::empty(status),
    };
    let shared = shared.clone();
    let work = tokio::spawn(async move {
        tokio::time::sleep(shared.settings.order_time).await;
        carry_out(&shared, &order, index)
    });
    let done = work.await.unwrap_or(false);
    server::empty(if done { StatusCode::OK } else { StatusCode::INTERNAL_SERVER_ERROR })
}

/// Logs the order and takes it, or returns the status that refuses it.
fn take(shared: &Shared, order: &Order) -> Result<usize, StatusCode> {
    let mut s = shared.lock();
    let enforced = shared.settings.fenced && !s.faults.ignore_fence;
    let stale = enforced && order.fence < s.fence;
    let busy = s.order.is_some();
    let entry = OrderEntry {
        fence: order.fence,
        seen: s.fence,
        id: order.id.clone(),
        kind: order.kind,
        taken: !stale && !busy,
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

/// Carries out a taken order; false if the engine crashed in the middle of it.
fn carry_out(shared: &Arc<Shared>, order: &Order, index: usize) -> bool {
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
    s.note_load();
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

/// Answers `POST /kv/export`: the handle names the cached blocks themselves.
pub(super) fn export(shared: &Shared, call: &Call) -> Response {
    let target: Target = match call.json() {
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

/// Answers `POST /kv/import`.
pub(super) fn import(shared: &Shared, call: &Call) -> Response {
    let target: Target = match call.json() {
        Ok(t) => t,
        Err(status) => return server::empty(status),
    };
    let parts = target.handle.split('-').filter(|p| !p.is_empty());
    let blocks: Result<Vec<u64>, _> = parts.map(|p| u64::from_str_radix(p, 16)).collect();
    let Ok(blocks) = blocks else { return server::empty(StatusCode::BAD_REQUEST) };
    shared.lock().touch(&blocks);
    server::empty(StatusCode::OK)
}
