//! Whether keyed requests are served without a recent proof.

use {
    agate_config::freshness::{
        ConfigFreshness, MAX_PROOF_AGE, MAX_RESPONSE_AGE, PeerTracker, Reachability, assess,
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
};

const fn reach(
    peers: usize,
    queried: usize,
    responded: usize,
    zones: usize,
    responding_zones: usize,
) -> Reachability {
    Reachability { peers, queried, responded, zones, responding_zones }
}

#[rstest]
#[case::all_zones_respond(reach(1, 1, 1, 3, 3), true)]
#[case::own_peer_dead(reach(1, 1, 0, 3, 3), true)]
#[case::one_zone_lost(reach(1, 1, 1, 3, 2), true)]
#[case::half_the_zones(reach(1, 1, 1, 3, 1), false)]
#[case::zone_isolated(reach(200, 20, 20, 8, 0), false)]
#[case::no_response(reach(1, 1, 0, 3, 0), false)]
#[case::no_query_yet(reach(7, 0, 0, 0, 0), false)]
#[case::one_zone_split_evenly(reach(7, 7, 3, 0, 0), false)]
#[case::one_zone_larger_part(reach(7, 7, 4, 0, 0), true)]
#[case::two_zones_partitioned(reach(3, 3, 3, 1, 0), false)]
#[case::only_instance(reach(0, 0, 0, 0, 0), true)]
fn zone_majority(#[case] reach: Reachability, #[case] expected: bool) {
    assert_eq!(reach.has_majority(), expected);
    let old = assess(Some(MAX_PROOF_AGE + Duration::from_millis(1)), reach);
    assert_eq!(old, if expected { ConfigFreshness::StoreDown } else { ConfigFreshness::Stale });
    assert_eq!(assess(Some(MAX_PROOF_AGE), reach), ConfigFreshness::Fresh);
    assert_eq!(assess(None, reach), ConfigFreshness::Stale, "no proof since the start");
}

#[test]
fn answers_expire() {
    let name: Arc<str> = "a".into();
    let mut peer_tracker = PeerTracker::default();
    peer_tracker.set_members(std::slice::from_ref(&name), &[vec!["b".into()]]);
    let asked = Duration::from_secs(100);
    peer_tracker.record_query("a", asked);
    assert_eq!(peer_tracker.reach(asked).queried, 0, "it may still respond");
    peer_tracker.record_response("a", asked);
    peer_tracker.record_response("unknown", asked);
    peer_tracker.set_members(&[name], &[vec!["b".into(), "c".into()]]);
    assert_eq!(peer_tracker.reach(asked), reach(1, 1, 1, 1, 0));
    // A response counts from the time of its query, however late it is read.
    let later = asked + MAX_RESPONSE_AGE + Duration::from_millis(1);
    assert_eq!(peer_tracker.reach(later), reach(1, 0, 0, 1, 0));
}
