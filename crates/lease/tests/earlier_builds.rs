//! The record of a lease as earlier builds wrote it to the store.

use {
    agate_lease::record::{LeaseRecord, decode, encode},
    rstest::rstest,
    std::time::Duration,
};

fn record(holder: &str) -> LeaseRecord {
    let ttl = Duration::from_millis(1_500);
    LeaseRecord { holder: holder.into(), token: 41, write_number: 7, ttl }
}

/// Guards against a lease that instances of two builds hold at the same time, or neither can acquire.
#[rstest]
#[case::held(record("n1-5"), r#"{"version":1,"holder":"n1-5","token":41,"beat":7,"ttl_ms":1500}"#)]
#[case::released(record(""), r#"{"version":1,"holder":"","token":41,"beat":7,"ttl_ms":1500}"#)]
fn stored_lease(#[case] record: LeaseRecord, #[case] written: &str) {
    assert_eq!(str::from_utf8(&encode(&record)), Ok(written));
    assert_eq!(decode("lease/leader", written.as_bytes()), Ok(record));
}
