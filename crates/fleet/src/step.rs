//! Entry point of the controller.

use {
    crate::{
        Action, Grant, Input, MAX_INTENTS, Need, Op, Outcome, Record, State, encode,
        orders::order_missing, releases::start_releases, state::Pending,
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Processes one input and returns the actions that the caller has to execute.
pub fn step(state: &mut State, input: Input, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    match input {
        Input::Tick => tick(state, now, &mut out),
        Input::Observed { deadline, long } => state.forecast.observe([deadline, long], now),
        Input::Listed(list) => state.apply_list(list, now),
        Input::Granted(grant, record) => on_granted(state, grant, record, now),
        Input::Renewed(until) => {
            if let Some(g) = &mut state.grant {
                g.until = until;
            }
        }
        Input::Lost => state.grant = None,
        Input::Recorded(number) => {
            if state.record.in_flight == Some(number) {
                state.record.in_flight = None;
                state.record.durable = number;
            }
        }
        Input::RecordFailed => {
            if state.record.in_flight.take().is_some() {
                state.record.dirty = true;
            }
        }
        Input::Responded(token, outcome) => on_outcome(state, &token, outcome, now),
        Input::Idle(name) => {
            let found = state.pending.iter_mut().find(|p| p.release_target() == Some(&name));
            if let Some(p) = found {
                p.idle = true;
            }
        }
    }
    out
}

fn on_granted(state: &mut State, grant: Grant, record: Record, now: Mono) {
    state.grant = Some(grant);
    state.granted_at = now;
    // Sequence numbers continue while the fencing token is the same, so that each stays unique.
    if state.fence.replace(grant.fence) != Some(grant.fence) {
        state.sequence = 0;
    }
    let own = record.intents.iter().filter(|i| i.fence == grant.fence).map(|i| i.sequence + 1);
    state.sequence = own.fold(state.sequence, u32::max);
    (state.last_plan, state.listed) = (None, false);
    state.recent_needs.clear();
    state.known_names = record.known;
    state.pending = record.intents.into_iter().map(|i| Pending::new(i, 0, now)).collect();
    let next = state.record.next + 1;
    (state.record.next, state.record.in_flight, state.record.dirty) = (next, None, false);
}

fn on_outcome(state: &mut State, token: &str, outcome: Outcome, now: Mono) {
    let pool = state.settings.pool.clone();
    let Some(i) = state.pending.iter().position(|p| p.intent.token(&pool) == token) else { return };
    match outcome {
        Outcome::Accepted => state.pending[i].accepted = true,
        Outcome::Unknown => {}
        Outcome::Refused => {
            let p = state.pending.remove(i);
            state.mark_dirty();
            if let Op::Order { zone, kind, .. } = &p.intent.op {
                log::info!(step = "order", peer:% = zone; "platform refused {kind:?} endpoints");
                state.back_off(zone, *kind, now);
            }
        }
    }
}

fn tick(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(grant) = state.grant.filter(|g| now < g.until) else { return };
    drop_overdue(state, now);
    let due = state.last_plan.is_none_or(|t| now >= t + state.settings.plan_interval);
    if due && state.listed && state.forecast.is_ready() {
        state.last_plan = Some(now);
        plan(state, &grant, now);
    }
    if now >= grant.first_order {
        send_due(state, now, out);
    }
    write_record(state, now, out);
}

/// Drops accepted orders whose endpoints were not listed in time.
fn drop_overdue(state: &mut State, now: Mono) {
    let timeout = state.settings.arrival_timeout;
    let before = state.pending.len();
    state
        .pending
        .retain(|p| p.release_target().is_some() || !p.accepted || now < p.created_at + timeout);
    if state.pending.len() != before {
        log::warn!(step = "order", peer:% = state.settings.pool; "ordered endpoints are overdue");
        state.mark_dirty();
    }
}

fn plan(state: &mut State, grant: &Grant, now: Mono) {
    let s = &state.settings;
    let [trend, _] = state.forecast.predict(s.lag);
    let [present, _] = state.forecast.predict(Duration::ZERO);
    let expected = present + (trend - present) * s.trend_weight;
    // Long work may wait, so its trend is ignored.
    let long = state.forecast.slow()[1] / s.rate;
    let need = |deadline: f64| Need { deadline: deadline * s.headroom / s.rate, long };
    let (expected_need, peak_need) = (need(expected), need(expected.max(present)));
    let hold = s.hold;
    state.recent_needs.push_back((now, peak_need));
    while state.recent_needs.front().is_some_and(|(t, _)| *t + hold < now) {
        state.recent_needs.pop_front();
    }
    let ordered = order_missing(state, expected_need, grant, now);
    if !ordered && now >= state.granted_at + hold {
        start_releases(state, grant, now);
    }
}

/// Sends the intents that are durable and not accepted yet, again after the retry time.
fn send_due(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let s = &state.settings;
    for p in &mut state.pending {
        let due = p.last_sent.is_none_or(|t| now >= t + s.retry);
        let ready = p.idle || p.release_target().is_none();
        if p.accepted || !due || !ready || p.write_number > state.record.durable {
            continue;
        }
        (p.last_sent, p.maybe_sent) = (Some(now), true);
        let token = p.intent.token(&s.pool);
        out.push(match &p.intent.op {
            Op::Order { zone, kind, count, .. } => {
                Action::Order { zone: zone.clone(), kind: *kind, count: *count, token }
            }
            Op::Release { endpoint } => Action::Release { endpoint: endpoint.clone(), token },
        });
    }
}

fn write_record(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    debug_assert!(
        state.pending.len() <= MAX_INTENTS,
        "there are more intents than a record can hold"
    );
    let r = &state.record;
    let due = r.last_write.is_none_or(|t| now >= t + state.settings.write_interval);
    if !r.dirty || r.in_flight.is_some() || !due {
        return;
    }
    let bytes = match encode(&state.record()) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(step = "record", peer:% = state.settings.pool; "{e}");
            return;
        }
    };
    let number = r.next;
    state.record.dirty = false;
    (state.record.next, state.record.in_flight) = (number + 1, Some(number));
    state.record.last_write = Some(now);
    out.push(Action::Write { number, bytes });
}
