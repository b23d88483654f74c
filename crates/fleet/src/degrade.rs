//! Which work is served when there is not enough for all.

use {
    crate::{Name, WorkKind},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// One kind of work of one class of organisations.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Kind of work.
    pub kind: WorkKind,
    /// Class of the organisations.
    pub class: Name,
}

/// Share of each work that is served, between 0 and 1, if `asked` is wanted of `capacity` in the
/// same unit. Work that stands earlier in `order` is refused first; work that it does not name,
/// last.
pub fn shares(order: &[Work], asked: &IndexMap<Work, f64>, capacity: f64) -> IndexMap<Work, f64> {
    let rank = |w: &Work| order.iter().position(|o| o == w).unwrap_or(usize::MAX);
    let mut works: Vec<_> = asked.iter().collect();
    works.sort_by_key(|(w, _)| std::cmp::Reverse(rank(w)));
    let mut left = capacity.max(0.0);
    let mut out = IndexMap::new();
    for (work, amount) in works {
        let given = amount.min(left);
        left -= given;
        out.insert(work.clone(), if *amount > 0.0 { given / amount } else { 1.0 });
    }
    out
}
