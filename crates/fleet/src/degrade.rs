//! Division of capacity among kinds of work when it does not suffice for all.

use {
    crate::{Name, WorkKind},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// Work of one kind and one class of organisations; the unit in which load is shed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Whether the work has a deadline or may wait.
    pub kind: WorkKind,
    /// Name of the class of organisations.
    pub class: Name,
}

/// Returns the fraction of each work that is served, between 0 and 1, when `demand` meets
/// `capacity`, both in the same unit. Work listed earlier in `order` is refused first, work not
/// listed last.
pub fn shares(order: &[Work], demand: &IndexMap<Work, f64>, capacity: f64) -> IndexMap<Work, f64> {
    let rank = |w: &Work| order.iter().position(|o| o == w).unwrap_or(usize::MAX);
    let mut works: Vec<_> = demand.iter().collect();
    works.sort_by_key(|(w, _)| std::cmp::Reverse(rank(w)));
    let mut left = capacity.max(0.0);
    let mut out = IndexMap::new();
    for (work, amount) in works {
        let served = amount.min(left);
        left -= served;
        out.insert(work.clone(), if *amount > 0.0 { served / amount } else { 1.0 });
    }
    out
}
