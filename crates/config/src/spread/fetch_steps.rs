//! Transitions of a fetch: the choice of sources for the head and the chunks, and the handling of
//! failures.

use {
    super::{
        Action, Fetch, HeadSummary, Peer, Source, State, reader,
        step::{announce, poll_delay},
    },
    agate_core::{Generation, Mono},
};

/// Number of failed sources after which an instance that may read from the store does so.
const MAX_PEERS: usize = 2;

/// Handles a head that a peer sent.
pub fn peer_head(
    s: &mut State,
    peer: Peer,
    summary: HeadSummary,
    now: Mono,
    out: &mut Vec<Action>,
) {
    let source = Source::Peer(peer);
    let is_expected = |f: &Fetch| f.missing.is_none() && f.source.as_ref() == Some(&source);
    if !s.fetch.as_ref().is_some_and(is_expected) {
        return;
    }
    if summary.generation <= s.installed {
        return try_next_source(s, now, out);
    }
    on_head(s, summary, source, now, out);
}

/// Starts to fetch the chunks of a head that was read from `source`, unless it is already known.
pub fn on_head(
    s: &mut State,
    summary: HeadSummary,
    source: Source,
    now: Mono,
    out: &mut Vec<Action>,
) {
    s.seen = s.seen.max(summary.generation);
    if summary.generation <= s.installed {
        return;
    }
    let known = s.fetch.as_ref().filter(|f| f.missing.is_some()).map(|f| f.generation);
    if known.is_some_and(|g| g >= summary.generation) {
        return;
    }
    let mut fetch = Fetch::new(summary.generation, Some(source), now);
    fetch.missing = Some(summary.missing.into_iter().collect());
    if let Some(old) = s.fetch.take() {
        fetch.holders = old.holders;
        fetch.behind_since = old.behind_since;
    }
    s.fetch = Some(fetch);
    request(s, now, out);
    finish(s, now, out);
}

/// Installs the fetched generation once no chunk is missing.
pub fn finish(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let is_complete = |f: &Fetch| f.missing.as_ref().is_some_and(|m| m.is_empty());
    let Some(done) = s.fetch.take_if(|f| is_complete(f)) else { return };
    assert!(done.generation > s.installed, "the installed generation only grows");
    s.installed = done.generation;
    s.proofs.install(s.installed);
    out.push(Action::Install(s.installed));
    announce(s, out);
    if s.seen > s.installed {
        let seen = s.seen;
        start(s, seen, done.holders, now, out);
    }
}

/// Starts to fetch a generation that `holders` announced.
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

/// Adds a holder of the generation that is being fetched. The fetch switches to it if it waits for
/// a holder, or reads from the store and has chunks left to request.
pub fn add_holder(s: &mut State, peer: Peer, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &mut s.fetch else { return };
    let waits = match fetch.source {
        None => true,
        Some(Source::Store) => fetch.unrequested() > 0,
        Some(Source::Peer(_)) => false,
    };
    if !waits {
        return fetch.add_holder(peer);
    }
    fetch.switch_source(Some(Source::Peer(peer)), now);
    request(s, now, out);
}

/// Switches to another source after the current one failed.
pub fn try_next_source(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    s.counters.failed += 1;
    let all = reader::reads_all(s, now);
    let Some(fetch) = &mut s.fetch else { return };
    fetch.failed += 1;
    let use_store = all && fetch.failed > MAX_PEERS;
    let next = if use_store { None } else { fetch.holders.pop() };
    fetch.switch_source(Some(next.map_or(Source::Store, Source::Peer)), now);
    request(s, now, out);
}

/// Requests missing parts from the current source, limited by the window of a peer or the rate of
/// store reads.
pub fn request(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &s.fetch else { return };
    match (&fetch.missing, &fetch.source) {
        (_, None) => {}
        (Some(_), Some(Source::Peer(peer))) => {
            let peer = peer.clone();
            request_from_peer(s, &peer, now, out);
        }
        (Some(_), Some(Source::Store)) => request_from_store(s, now, out),
        (None, Some(Source::Peer(peer))) => out.push(Action::FetchHead(peer.clone())),
        // The poll reads the head from the store, which is limited by the fleet's poll rate.
        (None, Some(Source::Store)) => {
            s.fetch = None;
            s.next_poll = s.next_poll.min(now + poll_delay(s));
        }
    }
}

fn request_from_peer(s: &mut State, peer: &Peer, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &mut s.fetch else { return };
    while fetch.requested.len() < s.settings.window
        && let Some(id) = fetch.next_chunk(now)
    {
        out.push(Action::FetchChunk(id, Source::Peer(peer.clone())));
    }
}

fn request_from_store(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    while s.fetch.as_ref().is_some_and(|f| f.unrequested() > 0) && reader::admit(s, now) {
        let Some(fetch) = &mut s.fetch else { return };
        let Some(id) = fetch.next_chunk(now) else { return };
        fetch.store_reads += 1;
        out.push(Action::FetchChunk(id, Source::Store));
    }
    let all = reader::reads_all(s, now);
    let Some(fetch) = &mut s.fetch else { return };
    if !all && fetch.unrequested() > 0 && fetch.requested.is_empty() {
        let holder = fetch.holders.pop().map(Source::Peer);
        fetch.switch_source(holder, now);
        request(s, now, out);
    }
}

/// Continues a fetch at the time of [`due`]: the source has timed out, the rate allows the next
/// chunk, or this instance may start to read from the store.
pub fn continue_fetch(s: &mut State, now: Mono, out: &mut Vec<Action>) {
    let Some(fetch) = &s.fetch else { return };
    if fetch.stalled(s.settings.fetch_timeout, now) {
        return try_next_source(s, now, out);
    }
    let waits = fetch.source.is_none();
    if waits && reader::reads_all(s, now) {
        let Some(fetch) = &mut s.fetch else { return };
        fetch.switch_source(Some(Source::Store), now);
    }
    if s.fetch.as_ref().is_some_and(|f| f.source == Some(Source::Store)) {
        request(s, now, out);
    }
}

/// Returns when [`continue_fetch`] is to be called next.
pub fn due(s: &State) -> Option<Mono> {
    let fetch = s.fetch.as_ref()?;
    let read_at = fetch.behind_since + reader::read_slot(s).wait;
    let reads_store = fetch.source == Some(Source::Store) && fetch.unrequested() > 0;
    let source_timeout =
        fetch.awaiting_response().then_some(fetch.since + s.settings.fetch_timeout);
    let read = reads_store.then_some(s.next_chunk.max(read_at));
    let takeover = fetch.source.is_none().then_some(read_at);
    [source_timeout, read, takeover].into_iter().flatten().min()
}
