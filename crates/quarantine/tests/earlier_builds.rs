//! The record of suspects as earlier builds wrote it to the store.

use {
    agate_quarantine::table::{Table, TrialEnd},
    agate_view::framing,
    std::time::Duration,
};

/// A suspect without a trial, one with an open trial, one whose trial ended without a result, and one
/// that crashed an endpoint in a trial.
fn table() -> Table {
    let at = |millis: u64| Duration::from_millis(1_700_000_000_000 + millis);
    let length = Duration::from_secs(2);
    let mut table = Table::default();
    for print in 1..=4 {
        assert!(table.add(print << 40, at(0), at(10)));
    }
    for (print, endpoint) in [(2, 21), (3, 22), (4, 23)] {
        table.begin_trial(&[print << 40], endpoint, length, at(20)).expect("a trial that is due");
    }
    assert!(table.end(3 << 40, 22, TrialEnd::Unresolved, at(300)));
    assert!(table.on_crash(4 << 40, 23, at(400)));
    table
}

/// Guards against a record that instances of two builds read differently, or take for damaged and
/// overwrite.
#[test]
fn stored_suspects() {
    let written =
        b"\x01\x04\x80\x80\x80\x80\x80 \x00\x00\x8a\xd0\x95\xff\xbc1\x80\xd0\x95\xff\xbc1\x00\
        \x80\x80\x80\x80\x80@\x00\x01\xec\x86\x96\xff\xbc1\x80\xd0\x95\xff\xbc1\x01\x15\xe4\
        \xdf\x95\xff\xbc1\x00\x80\x80\x80\x80\x80`\x00\x01\xb4\xf9\x95\xff\xbc1\x80\xd0\x95\
        \xff\xbc1\x01\x16\x00\x00\x80\x80\x80\x80\x80\x80\x01\x01\x00\xd0\xa2\xba\xff\xbc1\x90\
        \xd3\x95\xff\xbc1\x01\x17\x00\x01";
    assert_eq!(
        framing::encode(&table()).escape_ascii().to_string(),
        written.escape_ascii().to_string()
    );
    assert_eq!(framing::decode(written), Some(table()));
}
