//! Records of usage as earlier builds wrote them to the store.

use agate_leader::{Counts, count::Tally, window::Sealed};

/// Guards against requests that are not reported, or reported twice, because the instance that reports
/// a window cannot read what another build counted.
#[test]
fn stored_counts() {
    let mut tally = Tally::default();
    for (window, org, requests) in [(850_000_000, "huka", 300), (850_000_001, "a", 1)] {
        tally.merge(window, &[(org.into(), requests)]);
    }
    let written =
        b"\x01\x02\x80\xf1\xa7\x95\x03\x01\x04huka\xac\x02\x81\xf1\xa7\x95\x03\x01\x01a\x01";
    assert_eq!(tally.encode().escape_ascii().to_string(), written.escape_ascii().to_string());
    assert_eq!(Tally::decode(written), Some(tally));
}

/// Guards against two reports of one window with different figures, by instances of two builds.
#[test]
fn sealed_window() {
    let sealed = Sealed::new(&Counts::from([("a".into(), 1), ("huka".into(), 300)]));
    let written = b"\x01\x02\x01a\x01\x04huka\xac\x02";
    assert_eq!(sealed.encode().escape_ascii().to_string(), written.escape_ascii().to_string());
    assert_eq!(Sealed::decode(written), Some(sealed));
}
