//! Tests that run side by side get different ports for their instances.

use {
    agate_standin::ports,
    std::{collections::BTreeSet, thread},
};

/// Number of threads.
const THREADS: usize = 8;
/// Ports that each of them reserves.
const PORTS: usize = 250;

/// Guards against a port that is given to two instances before the first one has bound it: the second
/// one ends when it starts.
#[test]
fn no_port_twice() {
    let reserve = || (0..PORTS).map(|_| ports::reserve().port()).collect::<Vec<_>>();
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(reserve)).collect();
    let all = threads.into_iter().flat_map(|t| t.join().expect("no panic"));
    assert_eq!(all.collect::<BTreeSet<_>>().len(), THREADS * PORTS);
}
