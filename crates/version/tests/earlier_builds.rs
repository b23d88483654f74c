//! The record of splits as earlier builds wrote it to the store.

use {
    agate_version::{record::Splits, split::Split},
    agate_view::framing,
    indexmap::IndexMap,
    std::time::Duration,
};

fn splits() -> Splits {
    let split = |slots: &[(&str, u32)]| {
        Split::new(&slots.iter().map(|(version, n)| ((*version).into(), *n)).collect())
    };
    let at = Duration::from_millis;
    let tale = vec![
        (Duration::ZERO, split(&[("v1", 24)])),
        (at(1_700_000_000_250), split(&[("v1", 24), ("v2", 3)])),
    ];
    let desk = vec![(at(1_700_000_001_000), split(&[("", 6)]))];
    Splits(IndexMap::from([("tale".into(), tale), ("desk".into(), desk)]))
}

/// Guards against a record that instances of two builds read differently, or take for damaged and
/// overwrite.
#[test]
fn stored_splits() {
    let written =
        b"\x01\x02\x04tale\x02\x00\x00\x01\x02v1\x00\x80\xe2\xcf\xaa\x06\x80\xe5\x9aw\x02\x02v1\
        \x00\x02v2\xfa\x04desk\x01\x81\xe2\xcf\xaa\x06\x00\x01\x00\x00";
    assert_eq!(
        framing::encode(&splits()).escape_ascii().to_string(),
        written.escape_ascii().to_string()
    );
    assert_eq!(framing::decode(written), Some(splits()));
}
