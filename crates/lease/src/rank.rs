//! Selects the candidates of a lease.
//!
//! Every instance computes the same few candidates from its own list of members, so the number of
//! calls for a lease does not depend on the size of the fleet. Different lists only cost additional
//! calls and do not affect safety.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The `count` candidates of lease `name` among `members`, by rendezvous hashing, the preferred one
/// first.
pub fn candidates<'a>(
    name: &str,
    members: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    let score = |m: &str| xxh3_64_with_seed(m.as_bytes(), seed);
    let mut ranked: Vec<_> = members.into_iter().map(|m| (score(m), m)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, m)| m).collect()
}
