//! New streams are divided among the versions in proportion to their slots, alike on all instances.

use {
    agate_route::ranking::name_hash, agate_version::Split, agate_view::roster::Entry,
    indexmap::IndexMap, proptest::prelude::*, rstest::rstest, std::time::Duration,
};

fn split(slots: &[(&str, u32)]) -> Split {
    let slots: IndexMap<_, u32> = slots.iter().map(|(v, count)| ((*v).into(), *count)).collect();
    Split::new(&slots)
}

fn share_of(split: &Split, version: &str) -> f64 {
    const STREAMS: u32 = 20_000;
    let at = |i: &u32| split.version_of(name_hash(&format!("stream{i}"))).map(|v| &**v);
    f64::from((0..STREAMS).filter(|i| at(i) == Some(version)).count() as u32) / f64::from(STREAMS)
}

/// Guards against an endpoint of a new version that gets much more or less than its share of the streams.
#[rstest]
#[case::equal(8, 8)]
#[case::first_of_nine(8, 1)]
#[case::first_of_many(300, 1)]
#[case::most(3, 40)]
fn proportional(#[case] old: u32, #[case] new: u32) {
    let share = share_of(&split(&[("v1", old), ("v2", new)]), "v2");
    let fair = f64::from(new) / f64::from(old + new);
    assert!((0.75 * fair..1.35 * fair).contains(&share), "{share} instead of {fair}");
}

fn entry(name: &str, version: &str, slots: u32) -> Entry {
    Entry {
        name: name.into(),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: version.into(),
        slots,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: None,
        spot: false,
    }
}

/// Guards against a panic, or a sum that wraps, where the slots of a version exceed the largest number.
#[test]
fn slots_overflow() {
    let entries = [entry("e1", "v1", u32::MAX), entry("e2", "v1", 6), entry("e3", "v2", 500)];
    let splits = Split::of_services(&entries);
    assert!(share_of(&splits["desk"], "v1") > 0.99);
}

proptest! {
    /// Guards against streams that change between versions for no reason: those that move when a version
    /// gets more endpoints move to it.
    #[test]
    fn moves_to_the_grown(old in 1..500_u32, new in 1..500_u32, more in 0..500_u32) {
        let before = split(&[("v1", old), ("v2", new)]);
        let after = split(&[("v2", new + more), ("v1", old)]);
        for stream in (0..200_u32).map(|i| name_hash(&i.to_string())) {
            let (was, is) = (before.version_of(stream), after.version_of(stream));
            prop_assert!(was == is || is.map(|v| &**v) == Some("v2"), "{was:?} to {is:?}");
        }
    }
}
