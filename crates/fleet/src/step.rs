//! Entry point of the control of a pool.

use {
    crate::{
        Action, Grant, Input, MAX_INTENTS, Need, Outcome, Record, State, What, encode,
        orders::order, releases::release, state::Pending,
    },
    agate_core::Mono,
    std::time::Duration,
};

/// Takes one input in and returns what is to be done.
pub fn step(state: &mut State, input: Input, now: Mono) -> Vec<Action> {
    let mut out = Vec::new();
    match input {
        Input::Tick => tick(state, now, &mut out),
        Input::Observed { deadline, long } => state.forecast.observe([deadline, long], now),
        Input::Listed(list) => state.take_list(list, now),
        Input::Granted(grant, record) => granted(state, grant, record, now),
        Input::Renewed(until) => {
            if let Some(g) = &mut state.grant {
                g.until = until;
            }
        }
        Input::Lost => state.grant = None,
        Input::Recorded(number) => {
            if state.record.running == Some(number) {
                state.record.running = None;
                state.record.durable = number;
            }
        }
        Input::Unrecorded => {
            if state.record.running.take().is_some() {
                state.record.dirty = true;
            }
        }
        Input::Answered(token, outcome) => answered(state, &token, outcome, now),
        Input::Idle(name) => {
            let found = state.pending.iter_mut().find(|p| p.released() == Some(&name));
            if let Some(p) = found {
                p.idle = true;
            }
        }
    }
    out
}

fn granted(state: &mut State, grant: Grant, record: Record, now: Mono) {
    state.grant = Some(grant);
    state.since = now;
    // Numbers go on within a term, so that none is given to two intentions.
    if state.fence.replace(grant.fence) != Some(grant.fence) {
        state.sequence = 0;
    }
    let own = record.intents.iter().filter(|i| i.fence == grant.fence).map(|i| i.sequence + 1);
    state.sequence = own.fold(state.sequence, u32::max);
    (state.planned, state.listed) = (None, false);
    state.needs.clear();
    state.known = record.known;
    state.pending = record.intents.into_iter().map(|i| Pending::new(i, 0, now)).collect();
    let next = state.record.next + 1;
    (state.record.next, state.record.running, state.record.dirty) = (next, None, false);
}

fn answered(state: &mut State, token: &str, outcome: Outcome, now: Mono) {
    let pool = state.settings.pool.clone();
    let Some(i) = state.pending.iter().position(|p| p.intent.token(&pool) == token) else { return };
    match outcome {
        Outcome::Taken => state.pending[i].taken = true,
        Outcome::Unknown => {}
        Outcome::Refused => {
            let p = state.pending.remove(i);
            state.touch();
            if let What::Order { zone, kind, .. } = &p.intent.what {
                log::info!(step = "order", peer:% = zone; "{kind:?} endpoints were refused");
                state.refuse(zone, *kind, now);
            }
        }
    }
}

fn tick(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(grant) = state.grant.filter(|g| now < g.until) else { return };
    give_up(state, now);
    let due = state.planned.is_none_or(|t| now >= t + state.settings.period);
    if due && state.listed && state.forecast.is_ready() {
        state.planned = Some(now);
        plan(state, &grant, now);
    }
    if now >= grant.first_order {
        send(state, now, out);
    }
    write_record(state, now, out);
}

/// Gives up endpoints that were ordered long ago and never listed.
fn give_up(state: &mut State, now: Mono) {
    let patience = state.settings.patience;
    let before = state.pending.len();
    state.pending.retain(|p| p.released().is_some() || !p.taken || now < p.since + patience);
    if state.pending.len() != before {
        log::warn!(step = "order", peer:% = state.settings.pool; "ordered endpoints never arrived");
        state.touch();
    }
}

fn plan(state: &mut State, grant: &Grant, now: Mono) {
    let s = &state.settings;
    let [trend, _] = state.forecast.ahead(s.lag);
    let [present, _] = state.forecast.ahead(Duration::ZERO);
    let ahead = present + (trend - present) * s.trust;
    // Long work may wait, so its trend is of no use.
    let long = state.forecast.slow()[1] / s.rate;
    let need = |deadline: f64| Need { deadline: deadline * s.headroom / s.rate, long };
    let (coming, both) = (need(ahead), need(ahead.max(present)));
    let hold = s.hold;
    state.needs.push_back((now, both));
    while state.needs.front().is_some_and(|(t, _)| *t + hold < now) {
        state.needs.pop_front();
    }
    let ordered = order(state, coming, grant, now);
    if !ordered && now >= state.since + hold {
        release(state, grant, now);
    }
}

/// Sends what the record holds and what was not answered.
fn send(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    let s = &state.settings;
    for p in &mut state.pending {
        let due = p.sent.is_none_or(|t| now >= t + s.retry);
        let ready = p.idle || p.released().is_none();
        if p.taken || !due || !ready || p.stamp > state.record.durable {
            continue;
        }
        (p.sent, p.told) = (Some(now), true);
        let token = p.intent.token(&s.pool);
        out.push(match &p.intent.what {
            What::Order { zone, kind, count, .. } => {
                Action::Order { zone: zone.clone(), kind: *kind, count: *count, token }
            }
            What::Release { endpoint } => Action::Release { endpoint: endpoint.clone(), token },
        });
    }
}

fn write_record(state: &mut State, now: Mono, out: &mut Vec<Action>) {
    debug_assert!(state.pending.len() <= MAX_INTENTS, "plans keep to the bound");
    let r = &state.record;
    let due = r.written.is_none_or(|t| now >= t + state.settings.rewrite);
    if !r.dirty || r.running.is_some() || !due {
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
    (state.record.next, state.record.running) = (number + 1, Some(number));
    state.record.written = Some(now);
    out.push(Action::Write { number, bytes });
}
