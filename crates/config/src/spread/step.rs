//! Transitions of the state machine, one function for each input.

use {
    super::{
        Action, Call, HeadSummary, Input, Peer, Proof, Source, State, fetch_steps, reader,
        watchers::watchers,
    },
    agate_core::{Generation, Mono, time},
    rand::{RngExt, seq::IndexedRandom},
    std::time::Duration,
};

/// Fraction of queries in the own availability zone that go to a random member instead of a
/// watcher.
const RANDOM_FRACTION: f64 = 0.2;
/// The same fraction while proofs are old.
const STALE_RANDOM_FRACTION: f64 = 0.5;

pub fn step(s: &mut State, input: Input, now: Mono, out: &mut Vec<Action>) {
    match input {
        Input::Members { zone, remote, fleet } => {
            set_members(s, zone, &remote, fleet, now);
            start_watch(s, now, out);
        }
        Input::Digest { peer, generation, proof } => digest(s, peer, generation, proof, now, out),
        Input::Head(summary) => store_head(s, summary, now, out),
        Input::Unchanged => unchanged(s, now, out),
        Input::StoreFailed => store_failed(s, now),
        Input::PeerHead { peer, summary } => fetch_steps::peer_head(s, peer, summary, now, out),
        Input::Chunk { id, missing } => {
            if let Some(fetch) = &mut s.fetch {
                fetch.on_chunk(&id, missing, now);
            }
            fetch_steps::request(s, now, out);
            fetch_steps::finish(s, now, out);
        }
        Input::FetchFailed(source) => {
            if s.fetch.as_ref().is_some_and(|f| f.source.as_ref() == Some(&source)) {
                fetch_steps::try_next_source(s, now, out);
            }
        }
        Input::Due => due(s, now, out),
    }
}

fn set_members(s: &mut State, zone: Vec<Peer>, remote: &[Vec<Peer>], fleet: usize, now: Mono) {
    s.watchers = watchers(&zone, s.settings.watcher_share, s.settings.min_watchers);
    let others: Vec<Peer> = zone.iter().filter(|p| **p != s.own).cloned().collect();
    s.peer_tracker.set_members(&others, remote);
    let longest = remote.iter().map(Vec::len).max().unwrap_or_default();
    s.remote =
        (0..longest).flat_map(|i| remote.iter().filter_map(move |z| z.get(i).cloned())).collect();
    s.zone = zone;
    s.fleet = fleet.max(1);
    if s.next_poll == Mono::MAX {
        // Spreads the first polls of instances that start together.
        s.next_poll = now + poll_delay(s);
    }
    // The interval may have been that of a much larger estimate of readers.
    let mean = reader::read_interval(s);
    s.next_chunk = s.next_chunk.min(now + jitter(s, mean));
}

/// Starts to watch if this instance has become a watcher.
fn start_watch(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.is_watcher() && s.call.is_none() {
        call(s, false, now, out);
    }
}

/// Issues a store call. The caller checks that none is running.
fn call(s: &mut State, watch: bool, now: Mono, out: &mut Vec<Action>) {
    s.call = Some(Call { sent_at: now, min_generation: s.seen, watch });
    if watch {
        out.push(Action::Watch(s.settings.wait));
    } else {
        s.next_read = now + s.settings.reread;
        out.push(Action::Read);
    }
}

/// Continues after a store call ended. A watcher watches again, or at intervals reads the whole
/// head, since a watch would never report that the store went back to an older head.
fn next_call(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.is_watcher() {
        call(s, now < s.next_read, now, out);
    }
}

fn store_head(s: &mut State, summary: HeadSummary, now: Mono, out: &mut Vec<Action>) {
    let Some(done) = s.call.take() else { return };
    if summary.generation < done.min_generation {
        s.counters.older += 1;
        out.push(Action::Alarm(summary.generation));
    }
    s.proofs.add(summary.generation, done.sent_at, s.installed);
    fetch_steps::on_head(s, summary, Source::Store, now, out);
    next_call(s, now, out);
}

fn unchanged(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(done) = s.call.take() else { return };
    debug_assert!(done.watch, "only a watch ends without a change");
    // The watch waited for a change of the revision of a head that was not above `floor`.
    s.proofs.add(done.min_generation, done.sent_at, s.installed);
    if now < done.sent_at + s.settings.wait / 2 {
        // A store that does not wait must not be queried in a busy loop.
        s.next_poll = now + poll_delay(s);
        return;
    }
    next_call(s, now, out);
}

fn store_failed(s: &mut State, now: Mono) {
    s.call = None;
    s.counters.store_failed += 1;
    s.next_poll = now + poll_delay(s);
}

pub fn announce(s: &mut State, out: &mut Vec<Action>) {
    let others: Vec<&Peer> = s.zone.iter().filter(|p| **p != s.own).collect();
    let count = if s.is_watcher() { s.settings.seeds } else { s.settings.fanout };
    let chosen = others.sample(&mut s.rng, count);
    out.extend(chosen.map(|p| Action::Announce((*p).clone())));
}

fn digest(
    s: &mut State,
    peer: Peer,
    generation: Generation,
    proof: Option<Proof>,
    now: Mono,
    out: &mut Vec<Action>,
) {
    if let Some(Proof { sent_at, age }) = proof {
        s.peer_tracker.record_response(&peer, sent_at);
        // An instant before this clock's origin is too long ago to prove anything.
        if let Some(at) = age.and_then(|age| sent_at.checked_sub(age)) {
            s.proofs.add(generation, at, s.installed);
        }
    }
    s.seen = s.seen.max(generation);
    if generation <= s.installed {
        return;
    }
    match &s.fetch {
        Some(fetch) if generation >= fetch.generation => {
            fetch_steps::add_holder(s, peer, now, out);
        }
        Some(_) => {}
        None => fetch_steps::start(s, generation, vec![peer], now, out),
    }
}

fn due(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    fetch_steps::continue_fetch(s, now, out);
    if now >= s.next_query {
        send_query(s, now, out);
    }
    if now >= s.next_poll && s.call.is_none() {
        s.next_poll = now + poll_delay(s);
        if needs_store(s, now) {
            s.counters.polls += 1;
            call(s, false, now, out);
        }
    }
}

/// Returns whether to poll the store: this instance is a watcher, its proof is old, or no fetch is
/// running for a generation that it knows of.
fn needs_store(s: &State, now: Mono) -> bool {
    let behind = s.seen > s.installed && s.fetch.is_none();
    s.is_watcher() || behind || !is_recent(s, now)
}

fn is_recent(s: &State, now: Mono) -> bool {
    s.proof_age(now).is_some_and(|age| age <= s.settings.recent)
}

fn send_query(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let recent = is_recent(s, now);
    let mean = if recent { s.settings.query_interval } else { s.settings.stale_interval };
    s.next_query = now + jitter(s, mean);
    if recent && s.is_watcher() {
        return;
    }
    s.queries += 1;
    if let Some(peer) = choose_peer(s, recent) {
        s.peer_tracker.record_query(&peer, now);
        out.push(Action::Query(peer));
    }
}

/// Chooses a peer to query, mostly a watcher while proofs are recent. Otherwise each second query
/// goes to another availability zone in turn. This gets around a partial partition and shows which
/// zones respond.
fn choose_peer(s: &mut State, recent: bool) -> Option<Peer> {
    if !recent && s.queries.is_multiple_of(2) && !s.remote.is_empty() {
        return Some(s.remote[s.queries / 2 % s.remote.len()].clone());
    }
    let any_member =
        s.rng.random_bool(if recent { RANDOM_FRACTION } else { STALE_RANDOM_FRACTION });
    let list = if any_member { &s.zone } else { &s.watchers };
    let others: Vec<&Peer> = list.iter().filter(|p| **p != s.own).collect();
    let near = others.choose(&mut s.rng).map(|p| (*p).clone());
    near.or_else(|| s.remote.choose(&mut s.rng).cloned())
}

/// Draws the time until the next poll, so that the whole fleet stays within its rate. Watchers are
/// few and do not wait for others.
pub fn poll_delay(s: &mut State) -> Duration {
    let pollers = if s.is_watcher() { 1 } else { s.fleet };
    let rate_limited = time::seconds(pollers as f64 / s.settings.poll_rate);
    let mean = rate_limited.max(s.settings.poll_interval);
    jitter(s, mean)
}

/// Draws a time between half and one and a half of `mean`.
fn jitter(s: &mut State, mean: Duration) -> Duration {
    mean.mul_f64(s.rng.random_range(0.5..1.5))
}
