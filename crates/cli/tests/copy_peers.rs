//! Copies go to two peers, in availability zones of their own where there are any.

use {
    agate_cli::usage::copies::choose,
    agate_member::Member,
    agate_wire::{Place, Status},
    rstest::rstest,
    std::sync::Arc,
};

fn member(name: &str) -> Member {
    let place =
        Place { zone: name[..1].into(), region: "r".into(), address: ([127, 0, 0, 1], 1).into() };
    let (status, contact) = (Status::Alive, false);
    Member { name: name.into(), incarnation: 1, status, place, contact }
}

/// The first letter of a name is its availability zone; the chooser is in `a`.
#[rstest]
#[case::none(&[], &[], "")]
#[case::only_own(&["a1"], &[], "a")]
#[case::one_other(&["a1", "b1"], &[], "ba")]
#[case::same_other(&["a1", "b1", "b2"], &[], "bb")]
#[case::apart(&["a1", "b1", "b2", "c1"], &["b2", "b1"], "bc")]
fn zones_apart(#[case] live: &[&str], #[case] held: &[&str], #[case] want: &str) {
    let live: Vec<Member> = live.iter().map(|n| member(n)).collect();
    let held: Vec<Arc<str>> = held.iter().map(|n| (*n).into()).collect();
    let peers = choose("a", "a0", &held, &live);
    let mut zones: Vec<&str> = peers.iter().map(|p| &p[..1]).collect();
    zones.sort_by_key(|z| (*z == "a", *z));
    assert_eq!(zones.concat(), want);
}

#[test]
fn kept_while_live() {
    let live: Vec<Member> = ["b1", "b2", "b3", "c1", "c2", "c3"].map(member).into();
    for held in [["b1", "c3"], ["b3", "c1"], ["c2", "b2"]] {
        let held = held.map(Arc::from);
        let mut peers = choose("a", "a0", &held, &live);
        peers.sort_by_key(|p| held.iter().position(|h| h == p));
        assert_eq!(peers, held);
    }
}
