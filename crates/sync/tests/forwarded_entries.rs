//! Entries that a coordinator forwards count only if it confirmed this very set.

use {
    agate_sync::{message::Entries, poller::Confirmation, reassembly::Reassembly},
    agate_view::roster::{Entry, Input, Roster},
    std::time::Duration,
};

const AT: Duration = Duration::from_secs(50);

fn entries(n: u16) -> Vec<Entry> {
    let one = |i: u16| Entry {
        name: format!("e{i}").into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], i).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 6,
        leaving: false,
        cold: Duration::ZERO,
        stage: None,
        born: None,
        spot: false,
    };
    (0..n).map(one).collect()
}

fn digest(entries: &[Entry]) -> u64 {
    let mut roster = Roster::default();
    roster.step(Input::Read { entries: entries.to_vec(), sent: AT, era: 0 }, AT);
    roster.digest()
}

fn parts(all: &[Entry]) -> Vec<Entries> {
    let chunks: Vec<_> = all.chunks(3).collect();
    let one = |(i, chunk): (usize, &&[Entry])| Entries {
        digest: digest(all),
        part: i as u32,
        parts: chunks.len() as u32,
        entries: chunk.to_vec(),
    };
    chunks.iter().enumerate().map(one).collect()
}

fn confirmation(all: &[Entry]) -> Option<Confirmation> {
    Some(Confirmation { version: digest(all), at: AT })
}

#[test]
fn complete_set() {
    let all = entries(8);
    let mut reassembly = Reassembly::default();
    let mut reordered = parts(&all);
    reordered.reverse();
    let last = reordered.pop().expect("parts");
    for part in reordered {
        assert!(reassembly.add_entries(part.clone(), confirmation(&all)).is_none());
        assert!(
            reassembly.add_entries(part, confirmation(&all)).is_none(),
            "a repeated part adds nothing"
        );
    }
    let (got, at) = reassembly.add_entries(last, confirmation(&all)).expect("all parts");
    assert_eq!((got.len(), at), (8, AT));
}

/// Delayed messages, or those of a set that nobody confirmed, change nothing.
#[test]
fn late_parts() {
    let (old, new) = (entries(8), entries(5));
    let mut reassembly = Reassembly::default();
    assert!(
        parts(&old).into_iter().all(|p| reassembly.add_entries(p, confirmation(&new)).is_none())
    );
    assert!(parts(&old).into_iter().all(|p| reassembly.add_entries(p, None).is_none()));
}

/// Messages of two sets must not be combined, and a set that does not match its digest is rejected.
#[test]
fn mixed_sets() {
    let (a, b) = (entries(6), entries(5));
    let mut reassembly = Reassembly::default();
    assert!(reassembly.add_entries(parts(&a).remove(0), confirmation(&b)).is_none());
    assert!(reassembly.add_entries(parts(&b).remove(1), confirmation(&b)).is_none());
    let mut forged = parts(&b).remove(0);
    forged.entries.pop();
    assert!(reassembly.add_entries(forged, confirmation(&b)).is_none());
}
