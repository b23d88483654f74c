//! Who serves keyed work when proofs are missing.

use {
    agate_config::freshness::{HEARD_BOUND, Hearing, PROOF_BOUND, Reach, Standing, judge},
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const fn reach(peers: usize, asked: usize, answered: usize, zones: usize, heard: usize) -> Reach {
    Reach { peers, asked, answered, zones, heard }
}

#[rstest]
#[case::all_heard(reach(1, 1, 1, 3, 3), true)]
#[case::own_peer_dead(reach(1, 1, 0, 3, 3), true)]
#[case::one_zone_lost(reach(1, 1, 1, 3, 2), true)]
#[case::half_the_zones(reach(1, 1, 1, 3, 1), false)]
#[case::zone_isolated(reach(200, 20, 20, 8, 0), false)]
#[case::nobody(reach(1, 1, 0, 3, 0), false)]
#[case::nobody_asked_yet(reach(7, 0, 0, 0, 0), false)]
#[case::one_zone_split_evenly(reach(7, 7, 3, 0, 0), false)]
#[case::one_zone_larger_part(reach(7, 7, 4, 0, 0), true)]
#[case::two_zones_parted(reach(3, 3, 3, 1, 0), false)]
#[case::only_instance(reach(0, 0, 0, 0, 0), true)]
fn majorities(#[case] reach: Reach, #[case] expected: bool) {
    assert_eq!(reach.majority(), expected);
    let old = judge(Some(PROOF_BOUND + Duration::from_millis(1)), reach);
    assert_eq!(old, if expected { Standing::StoreDown } else { Standing::Stale });
    assert_eq!(judge(Some(PROOF_BOUND), reach), Standing::Fresh);
    assert_eq!(judge(None, reach), Standing::Stale, "no proof since the start");
}

#[test]
fn hearing_fades() {
    let name: Arc<str> = "a".into();
    let mut hearing = Hearing::default();
    hearing.set_members(std::slice::from_ref(&name), &[vec!["b".into()]]);
    let asked = Duration::from_secs(100);
    hearing.ask("a", asked);
    assert_eq!(hearing.reach(asked).asked, 0, "it may still answer");
    hearing.hear("a", asked);
    hearing.hear("unknown", asked);
    hearing.set_members(&[name], &[vec!["b".into(), "c".into()]]);
    assert_eq!(hearing.reach(asked), reach(1, 1, 1, 1, 0));
    // An answer counts from its question, however late it is read.
    let later = asked + HEARD_BOUND + Duration::from_millis(1);
    assert_eq!(hearing.reach(later), reach(1, 0, 0, 1, 0));
}
