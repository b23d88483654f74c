//! Records in compact form are restored byte by byte.

use {
    agate_config::compact::{pack, unpack},
    proptest::{prelude::*, test_runner::RngSeed},
    rstest::rstest,
};

fn hex(c: char) -> String {
    c.to_string().repeat(64)
}

#[rstest]
#[case::empty(String::new(), 0)]
#[case::plain(r#"{"a":"b"}"#.into(), 0)]
#[case::index(format!(r#"["{}","{}"]"#, hex('a'), hex('0')), 2)]
#[case::key(format!(r#"{{"{}":1}}"#, hex('1')), 1)]
#[case::upper(format!(r#"["{}"]"#, hex('A')), 0)]
#[case::longer(format!(r#"["{}0"]"#, hex('1')), 0)]
#[case::cut(format!(r#"["{}"#, hex('1')), 0)]
#[case::adjacent(format!(r#""{}""{}""#, hex('1'), hex('2')), 2)]
fn round_trip(#[case] record: String, #[case] digests: usize) {
    let packed = pack(record.as_bytes());
    assert_eq!(unpack(&packed).as_deref(), Some(record.as_bytes()));
    // Two lengths and, for each digest, an offset besides its 32 bytes.
    let bound = record.len() + 6 - digests * (64 - 32 - 3);
    assert!(packed.len() <= bound, "{} bytes of {}", packed.len(), record.len());
}

#[test]
fn bad_input() {
    assert_eq!(unpack(b""), None);
    assert_eq!(unpack(&[1, b'x', 1, 9]), None, "cut short");
    let mut beyond = vec![1, b'x', 1, 200, 1];
    beyond.extend([0; 32]);
    assert_eq!(unpack(&beyond), None, "a gap beyond the text");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..Default::default()
    })]

    #[test]
    fn round_trip_bytes(parts in prop::collection::vec(prop_oneof![
        Just("\"".to_owned()), "[0-9a-f]{64}", "[0-9a-f]{64}\"", "\"[0-9a-f]{64}\"", ".{0,8}",
    ], 0..20)) {
        let record = parts.concat();
        prop_assert_eq!(unpack(&pack(record.as_bytes())), Some(record.into_bytes()));
    }

    #[test]
    fn arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = unpack(&bytes);
    }
}
