//! Every interleaving of a few candidates, ticks, slow, lost and failed calls, at small size.

mod support;

use {
    agate_lease::machine::{Answer, Input},
    indexmap::IndexSet,
    rstest::rstest,
    std::{
        collections::VecDeque,
        hash::{BuildHasher, RandomState},
        time::Duration,
    },
    support::{Plant, World, fingerprint::fingerprint, settings},
};

const TICK: Duration = Duration::from_secs(1);
/// Times in ticks: ttl, margin, renew, poll, retry, timeout.
const TIMES: [u32; 6] = [3, 1, 1, 2, 1, 2];
/// Machines need not be woken exactly on time, so a pause needs no event of its own.
fn successors(w: &World, end: Duration) -> Vec<World> {
    let mut next = Vec::new();
    let mut branch = |change: &dyn Fn(&mut World)| {
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
    for (i, net) in w.nets.iter().enumerate() {
        if net.request.is_some() {
            branch(&|w| w.apply(i));
        } else {
            branch(&|w| w.deliver(i, Answer::Unknown));
        }
        if w.machines[net.who].flight.as_ref().is_some_and(|f| f.id == net.id) {
            branch(&|w| w.lose(i));
        }
    }
    next
}

/// Searches by time, then by steps; returns the number of states, or the first violation.
///
/// Each state is taken once, at the earliest tick at which it occurs.
fn search(plant: Plant, count: usize, ticks: u32) -> Result<usize, String> {
    let world = World::new(plant, &vec![1000; count], |name| settings(name, TICK, TIMES));
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
    let states = search(Plant::Sound, count, ticks).unwrap();
    println!("{count} candidates, {ticks} ticks: {states} states");
}

#[rstest]
#[case(1, 12)]
#[case(2, 4)]
#[case(3, 1)]
fn never_two_act(#[case] count: usize, #[case] ticks: u32) {
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
#[case(Plant::DeadlineFromAnswer)]
#[case(Plant::WaitFromRequest)]
#[case(Plant::SameToken)]
fn planted_fault_found(#[case] plant: Plant) {
    let found = search(plant, 2, 4);
    println!("{plant:?}: {found:?}");
    assert!(found.is_err());
}
