//! What an instance concludes about a path, and which instances it asks.

use {
    agate_path::decision::{
        Avoided, CHECK_INTERVAL, Change, MAX_SILENCE, Observation, PathState, choose_relay,
    },
    agate_view::peers::Peer,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(1_000 + n)
}

fn peers(count: usize, zones: usize) -> Vec<Peer> {
    let peer = |i: usize| Peer {
        name: format!("n{i}"),
        zone: format!("z{}", i % zones),
        address: ([10, 0, (i >> 8) as u8, i as u8], 7_000).into(),
        weight: 25,
    };
    (0..count).map(peer).collect()
}

/// A path is broken only if another instance has a connection that this one cannot open, and a
/// direct connection restores it.
#[test]
fn broken_and_restored() {
    let mut path = PathState::default();
    assert_eq!(path.observe(Observation::Neither, ms(0)), None);
    assert!(!path.is_broken());
    assert_eq!(path.observe(Observation::OnlyRelayed, ms(1)), Some(Change::Broken));
    assert_eq!(path.observe(Observation::OnlyRelayed, ms(2)), None);
    assert_eq!(path.observe(Observation::Neither, ms(3)), None);
    assert!(path.is_broken());
    assert_eq!(path.observe(Observation::Direct, ms(4)), Some(Change::Restored));
    assert!(!path.is_broken());
}

/// Checks follow silence, a suspicion or a broken path, and not more often than their interval.
#[test]
fn check_times() {
    let mut path = PathState::default();
    assert!(!path.begin_check(None, ms(0)));
    assert!(!path.begin_check(Some(MAX_SILENCE / 2), ms(0)));
    assert!(path.begin_check(Some(MAX_SILENCE), ms(0)));
    assert!(!path.begin_check(Some(MAX_SILENCE), ms(1)));
    let interval = CHECK_INTERVAL.as_millis() as u64;
    assert!(path.begin_check(Some(MAX_SILENCE), ms(interval)));
    path.observe(Observation::Direct, ms(interval));
    path.suspect();
    assert!(path.begin_check(None, ms(2 * interval)));
    path.observe(Observation::OnlyRelayed, ms(2 * interval));
    assert!(path.begin_check(None, ms(3 * interval)));
    path.observe(Observation::Direct, ms(3 * interval));
    assert!(!path.begin_check(None, ms(9 * interval)));
}

/// At the size that decides the design, with a whole availability zone of nine cut off: nearly all
/// connections of the cut instances find a relay with two attempts, and none gets more than a few
/// times the mean.
#[test]
fn whole_zone_cut() {
    let (peers, mut rng) = (peers(1_900, 9), StdRng::seed_from_u64(7));
    let cut = |p: &Peer| p.zone == "z0";
    let mut load = vec![0_u32; peers.len()];
    let (mut failed, mut asked) = (0, 0);
    for own in peers.iter().filter(|p| cut(p)) {
        let mut avoided = Avoided::default();
        for _ in 0..100 {
            let mut tried = None;
            let found = (0..2).any(|_| {
                let draw = rng.random();
                let relay = choose_relay(&peers, &own.name, tried, &avoided, draw, ms(0));
                let relay = relay.expect("other instances");
                assert_ne!(relay.name, own.name);
                asked += 1;
                if cut(relay) {
                    avoided.on_failure(&relay.name, ms(0));
                    tried = Some(relay);
                    return false;
                }
                load[peers.iter().position(|p| p.name == relay.name).expect("a peer")] += 1;
                true
            });
            failed += usize::from(!found);
        }
    }
    let total: u32 = load.iter().sum();
    let mean = f64::from(total) / 1_689.0;
    let most = f64::from(*load.iter().max().expect("peers"));
    println!("{failed} of {total} failed, {asked} asked, at most {most} of mean {mean:.1}");
    assert_eq!(failed, 0);
    assert!(most <= 4.0 * mean, "{most} of mean {mean}");
}

/// An instance that is alone has nobody to ask; one whose relays all failed asks them again.
#[test]
fn few_instances() {
    let two = peers(2, 1);
    let none = Avoided::default();
    assert_eq!(choose_relay(&two[..1], "n0", None, &none, 0.5, ms(0)), None);
    let mut avoided = Avoided::default();
    avoided.on_failure("n1", ms(0));
    for draw in [0.0, 0.999] {
        let chosen = choose_relay(&two, "n0", None, &avoided, draw, ms(1));
        assert_eq!(chosen.map(|p| p.name.as_str()), Some("n1"));
    }
}
