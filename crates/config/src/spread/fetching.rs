//! Transitions of a fetch: where head and chunks come from, and what happens if they do not.

use {
    super::{
        Action, Fetch, Found, Peer, Source, State, reader,
        step::{announce, poll_pause},
    },
    agate_core::{Generation, Mono},
};

/// Most failed sources after which an instance that may read asks the store.
const MAX_PEERS: usize = 2;

/// Takes over a head that a peer sent.
pub fn peer_head(s: &mut State, peer: Peer, found: Found, now: Mono, out: &mut Vec<Action>) {
    let source = Source::Peer(peer);
    let awaited = |f: &Fetch| f.missing.is_none() && f.source.as_ref() == Some(&source);
    if !s.fetch.as_ref().is_some_and(awaited) {
        return;
    }
    if found.generation <= s.installed {
        return move_on(s, now, out);
    }
    learn(s, found, source, now, out);
}

/// Takes over a head that was read from `source`.
pub fn learn(s: &mut State, found: Found, source: Source, now: Mono, out: &mut Vec<Action>) {
    s.seen = s.seen.max(found.generation);
    if found.generation <= s.installed {
        return;
    }
    let known = s.fetch.as_ref().filter(|f| f.missing.is_some()).map(|f| f.generation);
    if known.is_some_and(|g| g >= found.generation) {
        return;
    }
    let mut fetch = Fetch::new(found.generation, Some(source), now);
    fetch.missing = Some(found.missing.into_iter().collect());
    if let Some(old) = s.fetch.take() {
        fetch.holders = old.holders;
        fetch.lacking = old.lacking;
    }
    s.fetch = Some(fetch);
    request(s, now, out);
    finish(s, now, out);
}

/// Puts the fetched generation in force once nothing of it lacks.
pub fn finish(s: &mut State, now: Mono, out: &mut Vec<Action>) {
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

/// Starts to fetch a generation that `holders` told of.
pub fn start(
    s: &mut State,
    generation: Generation,
    mut holders: Vec<Peer>,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let source = holders.pop().map_or(Source::Store, Source::Peer);
    let mut fetch = Fetch::new(generation, Some(source), now);
    fetch.holders = holders;
    s.fetch = Some(fetch);
    request(s, now, out);
}

/// Notes a holder of what is being fetched, and turns to it if the fetch waits for one or is far
/// from done at the store.
pub fn add_holder(s: &mut State, peer: Peer, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &mut s.fetch else { return };
    let waits = match fetch.source {
        None => true,
        Some(Source::Store) => fetch.unasked() > 0,
        Some(Source::Peer(_)) => false,
    };
    if !waits {
        return fetch.add_holder(peer);
    }
    fetch.turn_to(Some(Source::Peer(peer)), now);
    request(s, now, out);
}

/// Turns to another source after the present one failed.
pub fn move_on(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.counters.failed += 1;
    let all = reader::reads_all(s, now);
    let Some(fetch) = &mut s.fetch else { return };
    fetch.failed += 1;
    let tired = all && fetch.failed > MAX_PEERS;
    let next = if tired { None } else { fetch.holders.pop() };
    fetch.turn_to(Some(next.map_or(Source::Store, Source::Peer)), now);
    request(s, now, out);
}

/// Asks the present source for what the fetch lacks, within its window or this instance's pace.
pub fn request(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &s.fetch else { return };
    match (&fetch.missing, &fetch.source) {
        (_, None) => {}
        (Some(_), Some(Source::Peer(peer))) => {
            let peer = peer.clone();
            ask_peer(s, &peer, now, out);
        }
        (Some(_), Some(Source::Store)) => ask_store(s, now, out),
        (None, Some(Source::Peer(peer))) => out.push(Action::FetchHead(peer.clone())),
        // The poll reads the head from the store, at the fleet's pace.
        (None, Some(Source::Store)) => {
            s.fetch = None;
            s.next_poll = s.next_poll.min(now + poll_pause(s));
        }
    }
}

fn ask_peer(s: &mut State, peer: &Peer, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &mut s.fetch else { return };
    while fetch.asked.len() < s.settings.window
        && let Some(id) = fetch.next_chunk(now)
    {
        out.push(Action::FetchChunk(id, Source::Peer(peer.clone())));
    }
}

fn ask_store(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    while s.fetch.as_ref().is_some_and(|f| f.unasked() > 0) && reader::admit(s, now) {
        let Some(fetch) = &mut s.fetch else { return };
        let Some(id) = fetch.next_chunk(now) else { return };
        fetch.reads += 1;
        out.push(Action::FetchChunk(id, Source::Store));
    }
    let all = reader::reads_all(s, now);
    let Some(fetch) = &mut s.fetch else { return };
    if !all && fetch.unasked() > 0 && fetch.asked.is_empty() {
        let holder = fetch.holders.pop().map(Source::Peer);
        fetch.turn_to(holder, now);
        request(s, now, out);
    }
}

/// Goes on when the time of [`due`] has come: a source has failed by its silence, the pace allows
/// the next chunk, or it is this instance's turn to read.
pub fn go_on(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &s.fetch else { return };
    if fetch.stalled(s.settings.patience, now) {
        return move_on(s, now, out);
    }
    let waits = fetch.source.is_none();
    if waits && reader::reads_all(s, now) {
        let Some(fetch) = &mut s.fetch else { return };
        fetch.turn_to(Some(Source::Store), now);
    }
    if s.fetch.as_ref().is_some_and(|f| f.source == Some(Source::Store)) {
        request(s, now, out);
    }
}

/// When [`go_on`] is to be called next.
pub fn due(s: &State) -> Option<Mono> {
    let fetch = s.fetch.as_ref()?;
    let turn = fetch.lacking + reader::turn(s).wait;
    let paced = fetch.source == Some(Source::Store) && fetch.unasked() > 0;
    let silence = fetch.owed().then_some(fetch.since + s.settings.patience);
    let read = paced.then_some(s.next_chunk.max(turn));
    let takeover = fetch.source.is_none().then_some(turn);
    [silence, read, takeover].into_iter().flatten().min()
}
