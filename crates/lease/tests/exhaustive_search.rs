//! Explores every interleaving of a few candidates, ticks, and slow, lost and failed calls.

mod support;

use {
    agate_lease::machine::{CallResult, Input},
    indexmap::IndexSet,
    rstest::rstest,
    std::{
        collections::VecDeque,
        hash::{BuildHasher, RandomState},
        time::Duration,
    },
    support::{Fault, Simulation, fingerprint::fingerprint, settings},
};

const TICK: Duration = Duration::from_secs(1);
/// Times in ticks: ttl, margin, renew, poll, retry, timeout.
const TIMES: [u32; 6] = [3, 1, 1, 2, 1, 2];
/// All successors of a state. A machine may be woken late, so a pause needs no event of its own.
fn successors(w: &Simulation, end: Duration) -> Vec<Simulation> {
    let mut next = Vec::new();
    let mut branch = |change: &dyn Fn(&mut Simulation)| {
        let mut after = w.clone();
        change(&mut after);
        next.push(after);
    };
    if w.now < end {
        branch(&|w| w.now += TICK);
    }
    for who in (0..w.machines.len()).filter(|i| w.due(*i)) {
        branch(&|w| w.step(who, Input::Tick));
    }
    for (i, net) in w.network.iter().enumerate() {
        if net.request.is_some() {
            branch(&|w| w.apply_request(i));
        } else {
            branch(&|w| w.deliver(i, CallResult::Unknown));
        }
        if w.machines[net.who].pending_call.as_ref().is_some_and(|f| f.id == net.id) {
            branch(&|w| w.lose_result(i));
        }
    }
    next
}

/// Explores states in order of time; returns the number of states, or the first violation.
///
/// Each state is visited once, at the earliest tick at which it occurs.
fn search(fault: Fault, count: usize, ticks: u32) -> Result<usize, String> {
    let world = Simulation::new(fault, &vec![1000; count], |name| settings(name, TICK, TIMES));
    let hasher = RandomState::new();
    let mut seen = IndexSet::from([hasher.hash_one(fingerprint(&world))]);
    let mut queue = VecDeque::from([world]);
    while let Some(w) = queue.pop_front() {
        for mut after in successors(&w, TICK * ticks) {
            after.check()?;
            after.drop_stale();
            if !seen.insert(hasher.hash_one(fingerprint(&after))) {
                continue;
            }
            match after.now > w.now {
                true => queue.push_back(after),
                false => queue.push_front(after),
            }
        }
    }
    Ok(seen.len())
}

fn run(count: usize, ticks: u32) {
    let states = search(Fault::None, count, ticks).unwrap();
    println!("{count} candidates, {ticks} ticks: {states} states");
}

#[rstest]
#[case(1, 12)]
#[case(2, 4)]
#[case(3, 1)]
fn single_holder(#[case] count: usize, #[case] ticks: u32) {
    run(count, ticks);
}

#[rstest]
#[case(2, 5)]
#[case(3, 2)]
#[ignore = "about a minute; cargo test -p agate-lease --test exhaustive_search -- --ignored"]
fn larger_search(#[case] count: usize, #[case] ticks: u32) {
    run(count, ticks);
}

#[rstest]
#[case(Fault::DeadlineFromResponse)]
#[case(Fault::WaitFromRequest)]
#[case(Fault::SameToken)]
fn injected_fault(#[case] fault: Fault) {
    let found = search(fault, 2, 4);
    println!("{fault:?}: {found:?}");
    assert!(found.is_err());
}
