//! Single steps of the distribution state machine: what counts as a proof, what is refused, and
//! where fetches continue.

use {
    agate_config::{
        freshness::ConfigFreshness,
        spread::{
            Action, HeadSummary, Input, Peer, Proof, Settings, Source, State, rank, watchers,
        },
    },
    std::time::Duration,
};

const MINUTE: Duration = Duration::from_secs(60);
const T: Duration = Duration::from_secs(1_000);

fn peer(name: &str) -> Peer {
    name.into()
}

fn head(generation: u64, missing: &[&str]) -> Input {
    Input::Head(HeadSummary {
        generation,
        missing: missing.iter().map(|m| m.to_string()).collect(),
    })
}

fn digest(generation: u64, proof: Option<Proof>) -> Input {
    Input::Digest { peer: peer("b"), generation, proof }
}

/// Returns an instance `a` among `members`, and its first actions.
fn start(members: &[&str]) -> (State, Vec<Action>) {
    let mut state = State::new(peer("a"), Settings::default(), 1);
    let zone = members.iter().map(|m| peer(m)).collect();
    let actions = state.step(Input::Members { zone, remote: vec![], fleet: members.len() }, T);
    (state, actions)
}

/// Returns a watcher that has installed generation 1 and sent its read at `T`.
fn watcher() -> State {
    let (mut state, actions) = start(&["a", "b"]);
    assert_eq!(actions, [Action::Read]);
    let actions = state.step(head(1, &[]), T);
    assert!(actions.contains(&Action::Install(1)));
    assert!(actions.contains(&Action::Announce(peer("b"))));
    assert!(actions.contains(&Action::Watch(Settings::default().wait)));
    state
}

/// A response that is read a minute late gives a proof that is a minute old, from a peer as from the
/// store.
#[test]
fn delayed_responses() {
    let mut state = watcher();
    let proof = Some(Proof { sent_at: T, age: Some(Duration::ZERO) });
    state.step(digest(1, proof), T + MINUTE);
    assert_eq!(state.proof_age(T + MINUTE), Some(MINUTE));
    state.step(Input::Unchanged, T + MINUTE);
    assert_eq!(state.proof_age(T + MINUTE), Some(MINUTE));
    state.step(head(1, &[]), T + 2 * MINUTE);
    assert_eq!(state.proof_age(T + 2 * MINUTE), Some(MINUTE), "the second call left at a minute");
}

/// A store whose watches end at once is read at the poll interval, not in a busy loop.
#[test]
fn immediate_watch() {
    let mut state = watcher();
    assert_eq!(state.step(Input::Unchanged, T), []);
    assert_eq!(state.proof_age(T), Some(Duration::ZERO));
    let actions = state.step(Input::Due, T + 2 * Settings::default().poll_interval);
    assert!(actions.contains(&Action::Read), "{actions:?}");
}

#[test]
fn unsolicited_digest() {
    let (mut state, _) = start(&["a", "b"]);
    state.step(head(1, &[]), T);
    state.step(digest(1, None), T + MINUTE);
    assert_eq!(state.proof_age(T + MINUTE), Some(MINUTE), "it proves nothing");
    state.step(digest(1, Some(Proof { sent_at: T + MINUTE, age: None })), T + MINUTE);
    assert_eq!(state.proof_age(T + MINUTE), Some(MINUTE), "the peer had no proof");
}

/// A proof for a greater generation counts once that generation is installed.
#[test]
fn future_generation() {
    let mut state = watcher();
    let sent_at = T + MINUTE;
    state.step(digest(2, Some(Proof { sent_at, age: Some(Duration::from_secs(1)) })), sent_at);
    assert_eq!(state.proof_age(sent_at), Some(MINUTE), "generation 1 is not proved");
    let summary = HeadSummary { generation: 2, missing: vec![] };
    let actions = state.step(Input::PeerHead { peer: peer("b"), summary }, sent_at);
    assert!(actions.contains(&Action::Install(2)));
    assert_eq!(state.proof_age(sent_at), Some(Duration::from_secs(1)));
}

/// An instance whose proof is too old accepted a revoked key from the response that told it of a
/// greater generation until it had installed that generation.
#[test]
fn behind_peers() {
    let mut state = watcher();
    let sent_at = T + MINUTE;
    state.step(digest(1, Some(Proof { sent_at, age: None })), sent_at);
    assert_eq!(state.freshness(sent_at), ConfigFreshness::StoreDown, "the peer knows no more");
    state.step(digest(2, Some(Proof { sent_at, age: None })), sent_at);
    assert_eq!(state.freshness(sent_at), ConfigFreshness::Stale, "the peer has a newer one");
    let summary = HeadSummary { generation: 2, missing: vec![] };
    state.step(Input::PeerHead { peer: peer("b"), summary }, sent_at);
    assert_eq!(state.freshness(sent_at), ConfigFreshness::StoreDown, "it caught up");
}

/// A read that was sent before a greater generation was announced may return the older one.
#[test]
fn concurrent_read() {
    let mut state = watcher();
    state.step(digest(2, None), T);
    let actions = state.step(head(1, &[]), T);
    assert!(!actions.iter().any(|a| matches!(a, Action::Alarm(_))));
    assert_eq!(state.counters.older, 0);
    // A call that was sent after it may not.
    let actions = state.step(head(1, &[]), T);
    assert!(actions.contains(&Action::Alarm(1)));
    assert_eq!((state.counters.older, state.installed()), (1, 1));
}

#[test]
fn older_heads() {
    let mut state = watcher();
    state.step(head(5, &[]), T);
    assert_eq!(state.installed(), 5);
    for input in [
        head(4, &[]),
        head(0, &[]),
        Input::PeerHead {
            peer: peer("b"),
            summary: HeadSummary { generation: 4, missing: vec![] },
        },
        digest(3, None),
    ] {
        let actions = state.step(input, T);
        assert!(!actions.iter().any(|a| matches!(a, Action::Install(_) | Action::FetchHead(_))));
    }
    assert_eq!(state.installed(), 5);
}

/// A fetch switches from a peer that fails to another holder, and from that one to the store.
#[test]
fn fetch_failover() {
    let mut state = watcher();
    let actions = state.step(digest(2, None), T);
    assert_eq!(actions, [Action::FetchHead(peer("b"))]);
    state.step(Input::Digest { peer: peer("c"), generation: 2, proof: None }, T);
    let actions = state.step(Input::FetchFailed(Source::Peer(peer("b"))), T);
    assert_eq!(actions, [Action::FetchHead(peer("c"))]);
    let summary = HeadSummary { generation: 2, missing: vec!["x".into(), "y".into()] };
    let actions = state.step(Input::PeerHead { peer: peer("c"), summary }, T);
    let from = Source::Peer(peer("c"));
    let chunk = |id: &str, from: &Source| Action::FetchChunk(id.into(), from.clone());
    assert_eq!(actions, [chunk("x", &from), chunk("y", &from)]);
    let arrived = |id: &str, missing: &[&str]| {
        let missing = missing.iter().map(|m| m.to_string()).collect();
        Input::Chunk { id: id.into(), missing }
    };
    assert_eq!(state.step(arrived("x", &["y", "z"]), T), [chunk("z", &from)]);
    assert_eq!(state.step(arrived("x", &["w"]), T), [], "it is not missing any more");
    let late = T + Settings::default().fetch_timeout;
    let actions = state.step(Input::Due, late);
    let store = |id| chunk(id, &Source::Store);
    assert!(actions.ends_with(&[store("y"), store("z")]), "{actions:?}");
    assert_eq!(state.step(arrived("z", &[]), late), []);
    let actions = state.step(arrived("y", &[]), late);
    assert!(actions.contains(&Action::Install(2)));
}

#[test]
fn stable_watchers() {
    let zone: Vec<Peer> = (0..200).map(|i| peer(&format!("i{i}"))).collect();
    let before = watchers(&zone, 48, 2);
    assert_eq!(before.len(), 5);
    assert!(before.is_sorted_by(|a, b| rank(a) > rank(b)));
    for gone in &zone {
        let rest: Vec<Peer> = zone.iter().filter(|p| *p != gone).cloned().collect();
        let after = watchers(&rest, 48, 2);
        let kept = after.iter().filter(|p| before.contains(p)).count();
        assert_eq!(kept, if before.contains(gone) { 4 } else { 5 });
    }
}
