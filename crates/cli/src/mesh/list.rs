//! State of the platform's list, and the fallbacks while it cannot be read.

use {
    super::Mesh,
    agate_core::Mono,
    agate_wire::{Name, Status},
    futures_util::future::join_all,
    indexmap::{IndexMap, IndexSet},
    rand::seq::IteratorRandom,
    std::{
        sync::{Arc, MutexGuard},
        time::Duration,
    },
};

/// Topic of a request for the leaving endpoints and the age of the list that names them.
pub(super) const LEAVING: &str = "list/leaving";
/// Maximum age of a list that is relied upon.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);
/// Number of random peers whose lists are requested at once.
const PEER_SAMPLE: usize = 4;

/// Names and availability zones of other instances that are not leaving.
type OtherInstances = Arc<Vec<(Name, Name)>>;

/// The platform's list as last read.
#[derive(Default)]
pub struct InstanceList {
    others: OtherInstances,
    /// Names of leaving endpoints.
    leaving: IndexSet<String>,
    /// Time of the last read; `None` before the first one.
    read_at: Option<Mono>,
}

impl Mesh {
    /// Stores a new list: the other instances of the region that are not leaving, with their
    /// availability zones, and the names of the leaving endpoints.
    pub fn update_list(&self, others: Vec<(Name, Name)>, leaving: IndexSet<String>) {
        let mut list = self.list();
        if *list.others != others {
            list.others = Arc::new(others);
        }
        list.leaving = leaving;
        list.read_at = Some((self.clock)());
    }

    /// Other instances of the region on the list, with their availability zones.
    pub fn listed_others(&self) -> OtherInstances {
        self.list().others.clone()
    }

    /// Fetches the leaving endpoints from peers, choosing the most recent list; `None` if this
    /// instance's own list is recent or no peer has a recent one.
    pub async fn fetch_leaving(&self) -> Option<IndexSet<String>> {
        if self.leaving().is_some_and(|(age, _)| age <= MAX_LIST_AGE) {
            return None;
        }
        let live = self.live();
        let sampled = live.iter().sample(&mut rand::rng(), PEER_SAMPLE);
        let requests = sampled.into_iter().map(|member| async move {
            self.ask::<(Duration, IndexSet<String>)>(&member.name, LEAVING, &()).await
        });
        let responses = join_all(requests).await.into_iter().flatten();
        let (age, leaving) = responses.min_by_key(|(age, _)| *age)?;
        (age <= MAX_LIST_AGE).then_some(leaving)
    }

    /// Age of the list and its leaving endpoints; `None` before the first read.
    pub(super) fn leaving(&self) -> Option<(Duration, IndexSet<String>)> {
        let list = self.list();
        let age = (self.clock)().saturating_sub(list.read_at?);
        Some((age, list.leaving.clone()))
    }

    /// Adds to `far` the listed instances of each availability zone that has no known live member.
    /// Without them, an instance cut off from all others would consider itself the only one and
    /// keep relying on an old configuration.
    pub(super) fn add_unreachable_zones(&self, zone: &[Name], far: &mut IndexMap<Name, Vec<Name>>) {
        let members = self.member.get().map(|m| m.members()).unwrap_or_default();
        let left =
            |name: &Name| members.iter().any(|m| m.name == *name && m.status == Status::Left);
        let mut reached: IndexSet<Name> = far.keys().cloned().collect();
        if zone.len() > 1 {
            reached.insert(self.zone.clone());
        }
        for (name, at) in self.listed_others().iter() {
            if !reached.contains(at) && !left(name) {
                far.entry(at.clone()).or_default().push(name.clone());
            }
        }
    }

    fn list(&self) -> MutexGuard<'_, InstanceList> {
        self.list.lock().expect("no panic under the list's lock")
    }
}
