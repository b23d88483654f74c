//! Transitions of the machine, one function for each input.

use {
    super::{Action, Call, Fetch, Found, Input, Peer, Proof, Source, State, watchers::watchers},
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
        Input::PeerHead { peer, found } => peer_head(s, peer, found, now, out),
        Input::Chunk { id, missing } => {
            if let Some(fetch) = &mut s.fetch {
                let asked = fetch.arrived(&id, missing, now).into_iter();
                out.extend(asked.map(|id| Action::FetchChunk(id, fetch.source.clone())));
            }
            finish(s, now, out);
        }
        Input::FetchFailed(source) => {
            if s.fetch.as_ref().is_some_and(|f| f.source == source) {
                move_on(s, now, out);
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
    learn(s, found, Source::Store, now, out);
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

fn peer_head(s: &mut State, peer: Peer, found: Found, now: Mono, out: &mut Vec<Action>) {
    let source = Source::Peer(peer);
    let awaited = |f: &Fetch| f.missing.is_none() && f.source == source;
    if !s.fetch.as_ref().is_some_and(awaited) {
        return;
    }
    if found.generation <= s.installed {
        return move_on(s, now, out);
    }
    learn(s, found, source, now, out);
}

/// Takes over a head that was read from `source`.
fn learn(s: &mut State, found: Found, source: Source, now: Mono, out: &mut Vec<Action>) {
    s.seen = s.seen.max(found.generation);
    if found.generation <= s.installed {
        return;
    }
    let known = s.fetch.as_ref().filter(|f| f.missing.is_some()).map(|f| f.generation);
    if known.is_some_and(|g| g >= found.generation) {
        return;
    }
    let old = s.fetch.take();
    let mut fetch = Fetch::new(found.generation, source.clone(), now);
    fetch.holders = old.map(|f| f.holders).unwrap_or_default();
    fetch.missing = Some(found.missing.iter().cloned().collect());
    s.fetch = Some(fetch);
    let chunks = found.missing.into_iter();
    out.extend(chunks.map(|id| Action::FetchChunk(id, source.clone())));
    finish(s, now, out);
}

/// Puts the fetched generation in force once nothing of it lacks.
fn finish(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let whole = |f: &Fetch| f.missing.as_ref().is_some_and(|m| m.is_empty());
    let Some(done) = s.fetch.take_if(|f| whole(f)) else { return };
    assert!(done.generation > s.installed, "the generation in force only grows");
    s.installed = done.generation;
    s.proofs.install(s.installed);
    out.push(Action::Install(s.installed));
    announce(s, out);
    if s.seen > s.installed {
        let seen = s.seen;
        start(s, seen, done.holders, now, out);
    }
}

fn announce(s: &mut State, out: &mut Vec<Action>) {
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
    match &mut s.fetch {
        Some(fetch) => {
            if generation >= fetch.generation {
                fetch.add_holder(peer);
            }
        }
        None => start(s, generation, vec![peer], now, out),
    }
}

/// Starts to fetch a generation that `holders` told of.
fn start(
    s: &mut State,
    generation: Generation,
    mut holders: Vec<Peer>,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let source = holders.pop().map_or(Source::Store, Source::Peer);
    let mut fetch = Fetch::new(generation, source, now);
    fetch.holders = holders;
    s.fetch = Some(fetch);
    request(s, now, out);
}

fn move_on(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.counters.failed += 1;
    if let Some(fetch) = &mut s.fetch {
        fetch.move_on(now);
    }
    request(s, now, out);
}

/// Asks the present source for what the fetch lacks.
fn request(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &s.fetch else { return };
    match (&fetch.missing, fetch.source.clone()) {
        (Some(missing), source) => {
            let chunks = missing.iter().cloned();
            out.extend(chunks.map(|id| Action::FetchChunk(id, source.clone())));
        }
        (None, Source::Peer(peer)) => out.push(Action::FetchHead(peer)),
        // The poll reads the head from the store, at the fleet's pace.
        (None, Source::Store) => {
            s.fetch = None;
            s.next_poll = s.next_poll.min(now + poll_pause(s));
        }
    }
}

fn due(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    if s.fetch.as_ref().is_some_and(|f| now >= f.since + s.settings.patience) {
        move_on(s, now, out);
    }
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
fn poll_pause(s: &mut State) -> Duration {
    let crowd = if s.is_watcher() { 1 } else { s.fleet };
    let paced = Duration::from_secs_f64(crowd as f64 / s.settings.poll_rate);
    let mean = paced.max(s.settings.poll);
    jitter(s, mean)
}

/// Draws a time between half and one and a half of `mean`.
fn jitter(s: &mut State, mean: Duration) -> Duration {
    mean.mul_f64(s.rng.random_range(0.5..1.5))
}
