//! Entries that a coordinator passes on count only if it vouched for this very set.

use {
    agate_sync::{asker::Confirmed, assembly::Assembly, message::Entries},
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
    roster.step(Input::Read { entries: entries.to_vec(), sent: AT }, AT);
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

fn vouched(all: &[Entry]) -> Option<Confirmed> {
    Some(Confirmed { version: digest(all), at: AT })
}

#[test]
fn whole_set() {
    let all = entries(8);
    let mut assembly = Assembly::default();
    let mut crossed = parts(&all);
    crossed.reverse();
    let last = crossed.pop().expect("parts");
    for part in crossed {
        assert!(assembly.take(part.clone(), vouched(&all)).is_none());
        assert!(assembly.take(part, vouched(&all)).is_none(), "a repeated part adds nothing");
    }
    let (got, at) = assembly.take(last, vouched(&all)).expect("all parts");
    assert_eq!((got.len(), at), (8, AT));
}

/// Parts that were under way for long, or whose set nobody vouched for, change nothing.
#[test]
fn late_parts() {
    let (old, new) = (entries(8), entries(5));
    let mut assembly = Assembly::default();
    assert!(parts(&old).into_iter().all(|p| assembly.take(p, vouched(&new)).is_none()));
    assert!(parts(&old).into_iter().all(|p| assembly.take(p, None).is_none()));
}

/// Parts of two sets are not joined, and a set that lacks its digest is refused.
#[test]
fn mixed_parts() {
    let (a, b) = (entries(6), entries(5));
    let mut assembly = Assembly::default();
    assert!(assembly.take(parts(&a).remove(0), vouched(&b)).is_none());
    assert!(assembly.take(parts(&b).remove(1), vouched(&b)).is_none());
    let mut forged = parts(&b).remove(0);
    forged.entries.pop();
    assert!(assembly.take(forged, vouched(&b)).is_none());
}
