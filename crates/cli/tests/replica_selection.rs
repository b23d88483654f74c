//! Selection of the two peers that keep copies of usage counters: in different availability zones
//! where possible.

use {
    agate_cli::usage::{
        copies::select_peers,
        roles::{CANDIDATES, assign},
    },
    agate_config::spread::{Settings, watchers},
    agate_member::Member,
    agate_wire::{Name, Place, Status},
    indexmap::{IndexMap, IndexSet},
    rstest::rstest,
    std::sync::Arc,
};

fn member(name: &str) -> Member {
    let place =
        Place { zone: name[..1].into(), region: "r".into(), address: ([127, 0, 0, 1], 1).into() };
    let (status, contact) = (Status::Alive, false);
    Member { name: name.into(), incarnation: 1, status, place, contact }
}

/// The first letter of a name is its availability zone; the selecting instance is in `a`.
#[rstest]
#[case::none(&[], &[], "")]
#[case::only_own(&["a1"], &[], "a")]
#[case::one_other(&["a1", "b1"], &[], "ba")]
#[case::same_other(&["a1", "b1", "b2"], &[], "bb")]
#[case::stable_and_distinct(&["a1", "b1", "b2", "c1"], &["b2", "b1"], "bc")]
fn distinct_zones(#[case] live: &[&str], #[case] held: &[&str], #[case] want: &str) {
    let live: Vec<Member> = live.iter().map(|n| member(n)).collect();
    let held: Vec<Arc<str>> = held.iter().map(|n| (*n).into()).collect();
    let peers = select_peers("a", "a0", &held, &live, &IndexSet::new());
    let mut zones: Vec<&str> = peers.iter().map(|p| &p[..1]).collect();
    zones.sort_by_key(|z| (*z == "a", *z));
    assert_eq!(zones.concat(), want);
}

#[test]
fn stable_peers() {
    let live: Vec<Member> = ["b1", "b2", "b3", "c1", "c2", "c3"].map(member).into();
    for held in [["b1", "c3"], ["b3", "c1"], ["c2", "b2"]] {
        let held = held.map(Arc::from);
        let mut peers = select_peers("a", "a0", &held, &live, &IndexSet::new());
        peers.sort_by_key(|p| held.iter().position(|h| h == p));
        assert_eq!(peers, held);
    }
}

/// In a large fleet, no instance may have two expensive roles, and copies must be spread over the
/// others.
#[test]
fn separated_roles() {
    let (instances, zones, shards) = (1_900, 9, 128);
    let live: Vec<Member> = (0..instances)
        .map(|i| member(&format!("{}{i}", char::from(b'a' + (i % zones) as u8))))
        .collect();
    let roles = assign(live.iter().map(|m| (&*m.place.zone, &*m.name)), shards);
    assert!(roles.shards.iter().all(|c| c.len() == CANDIDATES));
    assert_eq!(roles.busy.len(), CANDIDATES * shards as usize, "one stands for two shards");
    let mut places: IndexMap<Name, Vec<Name>> = IndexMap::new();
    for m in &live {
        places.entry(m.place.zone.clone()).or_default().push(m.name.clone());
    }
    let settings = Settings::default();
    let watch = |zone: &Vec<Name>| watchers(zone, settings.watcher_share, settings.min_watchers);
    let watching: IndexSet<Name> = places.values().flat_map(watch).collect();
    assert!(watching.len() > 100 && watching.is_disjoint(&roles.busy));
    let mut copies: IndexMap<Arc<str>, usize> = IndexMap::new();
    for m in live.iter().step_by(20) {
        for peer in select_peers(&m.place.zone, &m.name, &[], &live, &roles.busy) {
            assert!(!roles.busy.contains(&peer), "a candidate keeps copies");
            *copies.entry(peer).or_default() += 1;
        }
    }
    assert!(copies.values().all(|n| *n <= 4), "one peer keeps the copies of many");
}

/// In a small fleet, every instance is a lease candidate and also keeps copies.
#[test]
fn small_fleet() {
    let names = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"];
    let roles = assign(names.iter().map(|n| (&n[..1], *n)), 4);
    assert!(roles.busy.is_empty());
    assert!(roles.shards.iter().all(|c| c.len() == CANDIDATES));
}
