//! Transitions of the machine, one function for each input.

use {
    super::{
        Action, Call, Found, Input, Peer, Proof, Source, State, fetching, reader,
        watchers::watchers,
    },
    agate_core::{Generation, Mono},
    rand::{RngExt, seq::IndexedRandom},
    std::time::Duration,
};

/// Share of questions in the own availability zone that go to any member rather than to a watcher.
const STRAY: f64 = 0.2;
/// The same while proofs are old.
const HASTY_STRAY: f64 = 0.5;

pub fn step(s: &mut State, input: Input, now: Mono, out: &mut Vec<Action>) {
    match input {
        Input::Members { zone, far, fleet } => {
            set_members(s, zone, &far, fleet, now);
            start_watch(s, now, out);
        }
        Input::Digest { peer, generation, proof } => digest(s, peer, generation, proof, now, out),
        Input::Head(found) => store_head(s, found, now, out),
        Input::Unchanged => unchanged(s, now, out),
        Input::StoreFailed => store_failed(s, now),
        Input::PeerHead { peer, found } => fetching::peer_head(s, peer, found, now, out),
        Input::Chunk { id, missing } => {
            if let Some(fetch) = &mut s.fetch {
                fetch.arrived(&id, missing, now);
            }
            fetching::request(s, now, out);
            fetching::finish(s, now, out);
        }
        Input::FetchFailed(source) => {
            if s.fetch.as_ref().is_some_and(|f| f.source.as_ref() == Some(&source)) {
                fetching::move_on(s, now, out);
            }
        }
        Input::Due => due(s, now, out),
    }
}

fn set_members(s: &mut State, zone: Vec<Peer>, far: &[Vec<Peer>], fleet: usize, now: Mono) {
    s.watchers = watchers(&zone, s.settings.share, s.settings.min_watchers);
    let others: Vec<Peer> = zone.iter().filter(|p| **p != s.own).cloned().collect();
    s.hearing.set_members(&others, far);
    let most = far.iter().map(Vec::len).max().unwrap_or_default();
    s.far = (0..most).flat_map(|i| far.iter().filter_map(move |z| z.get(i).cloned())).collect();
    s.zone = zone;
    s.fleet = fleet.max(1);
    if s.next_poll == Mono::MAX {
        // Instances that start together do not poll together.
        s.next_poll = now + poll_pause(s);
    }
    // The pace may have been that of a far larger crowd.
    let mean = reader::pace(s);
    s.next_chunk = s.next_chunk.min(now + jitter(s, mean));
}

/// Starts to watch if this instance has become a watcher.
fn start_watch(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.is_watcher() && s.call.is_none() {
        call(s, false, now, out);
    }
}

/// Issues a store call; the caller checks that none is under way.
fn call(s: &mut State, watch: bool, now: Mono, out: &mut Vec<Action>) {
    s.call = Some(Call { asked: now, floor: s.seen, watch });
    if watch {
        out.push(Action::Watch(s.settings.wait));
    } else {
        s.next_read = now + s.settings.reread;
        out.push(Action::Read);
    }
}

/// Goes on after a store call ended: a watcher waits again, or reads the head whole at times, since
/// a watch would never tell that the store went back.
fn call_again(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.is_watcher() {
        call(s, now < s.next_read, now, out);
    }
}

fn store_head(s: &mut State, found: Found, now: Mono, out: &mut Vec<Action>) {
    let Some(done) = s.call.take() else { return };
    if found.generation < done.floor {
        s.counters.older += 1;
        out.push(Action::Alarm(found.generation));
    }
    s.proofs.add(found.generation, done.asked, s.installed);
    fetching::learn(s, found, Source::Store, now, out);
    call_again(s, now, out);
}

fn unchanged(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(done) = s.call.take() else { return };
    debug_assert!(done.watch, "only a watch ends without news");
    // The watch waited on the revision of a head that was not above the greatest one known.
    s.proofs.add(done.floor, done.asked, s.installed);
    if now < done.asked + s.settings.wait / 2 {
        // A service that does not wait must not be asked without pause.
        s.next_poll = now + poll_pause(s);
        return;
    }
    call_again(s, now, out);
}

fn store_failed(s: &mut State, now: Mono) {
    s.call = None;
    s.counters.store_failed += 1;
    s.next_poll = now + poll_pause(s);
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
    if let Some(Proof { asked, age }) = proof {
        s.hearing.hear(&peer, asked);
        // An instant before this clock's origin is too long ago to prove anything.
        if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
            s.proofs.add(generation, at, s.installed);
        }
    }
    s.seen = s.seen.max(generation);
    if generation <= s.installed {
        return;
    }
    match &s.fetch {
        Some(fetch) if generation >= fetch.generation => {
            fetching::add_holder(s, peer, now, out);
        }
        Some(_) => {}
        None => fetching::start(s, generation, vec![peer], now, out),
    }
}

fn due(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    fetching::go_on(s, now, out);
    if now >= s.next_ask {
        ask(s, now, out);
    }
    if now >= s.next_poll && s.call.is_none() {
        s.next_poll = now + poll_pause(s);
        if needs_store(s, now) {
            s.counters.polls += 1;
            call(s, false, now, out);
        }
    }
}

/// Whether the proof grows old, or a generation that was told of is nowhere to be had.
fn needs_store(s: &State, now: Mono) -> bool {
    let behind = s.seen > s.installed && s.fetch.is_none();
    s.is_watcher() || behind || !is_recent(s, now)
}

fn is_recent(s: &State, now: Mono) -> bool {
    s.proof_age(now).is_some_and(|age| age <= s.settings.recent)
}

fn ask(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let recent = is_recent(s, now);
    let mean = if recent { s.settings.ask } else { s.settings.hasty };
    s.next_ask = now + jitter(s, mean);
    if recent && s.is_watcher() {
        return;
    }
    s.asks += 1;
    if let Some(peer) = choose(s, recent) {
        s.hearing.ask(&peer, now);
        out.push(Action::Ask(peer));
    }
}

/// Chooses whom to ask: mostly watchers while all is well; else each second question goes to
/// another availability zone in turn, which finds a way around a cut and shows who is heard.
fn choose(s: &mut State, recent: bool) -> Option<Peer> {
    if !recent && s.asks.is_multiple_of(2) && !s.far.is_empty() {
        return Some(s.far[s.asks / 2 % s.far.len()].clone());
    }
    let stray = s.rng.random_bool(if recent { STRAY } else { HASTY_STRAY });
    let list = if stray { &s.zone } else { &s.watchers };
    let others: Vec<&Peer> = list.iter().filter(|p| **p != s.own).collect();
    let near = others.choose(&mut s.rng).map(|p| (*p).clone());
    near.or_else(|| s.far.choose(&mut s.rng).cloned())
}

/// Time between two polls that keeps the whole fleet within its rate; watchers are few.
pub fn poll_pause(s: &mut State) -> Duration {
    let crowd = if s.is_watcher() { 1 } else { s.fleet };
    let paced = Duration::from_secs_f64(crowd as f64 / s.settings.poll_rate);
    let mean = paced.max(s.settings.poll);
    jitter(s, mean)
}

/// Draws a time between half and one and a half of `mean`.
fn jitter(s: &mut State, mean: Duration) -> Duration {
    mean.mul_f64(s.rng.random_range(0.5..1.5))
}
