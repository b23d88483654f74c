//! What the platform's list says, and what follows from it while it cannot be read.

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

/// Topic of a question for the endpoints that leave and the age of the list that says so.
pub(super) const LEAVING: &str = "list/leaving";
/// Age up to which a list counts.
const FRESH: Duration = Duration::from_secs(2);
/// Peers that are asked for their lists at once.
const SAMPLE: usize = 4;

/// Other instances that stay, with their availability zones.
type Others = Arc<Vec<(Name, Name)>>;

/// The list as it was last read.
#[derive(Default)]
pub struct List {
    others: Others,
    /// Names of the endpoints that leave.
    leaving: IndexSet<String>,
    /// Time at which it was read; `None` if it never was.
    read: Option<Mono>,
}

impl Mesh {
    /// Takes over the list: the other instances of the region that stay, with their availability
    /// zones, and the endpoints that leave.
    pub fn take_list(&self, others: Vec<(Name, Name)>, leaving: IndexSet<String>) {
        let mut list = self.list();
        if *list.others != others {
            list.others = Arc::new(others);
        }
        list.leaving = leaving;
        list.read = Some((self.clock)());
    }

    /// Other instances of the region on the list, with their availability zones.
    pub fn listed_others(&self) -> Others {
        self.list().others.clone()
    }

    /// Endpoints that leave as a peer knows them, if the own list is old and some peer's is not.
    pub async fn ask_leaving(&self) -> Option<IndexSet<String>> {
        if self.leaving().is_some_and(|(age, _)| age <= FRESH) {
            return None;
        }
        let live = self.live();
        let asked = live.iter().sample(&mut rand::rng(), SAMPLE);
        let asks = asked.into_iter().map(|member| async move {
            self.ask::<(Duration, IndexSet<String>)>(&member.name, LEAVING, &()).await
        });
        let answers = join_all(asks).await.into_iter().flatten();
        let (age, leaving) = answers.min_by_key(|(age, _)| *age)?;
        (age <= FRESH).then_some(leaving)
    }

    /// Age of the list and the endpoints that leave; `None` if it never was read.
    pub(super) fn leaving(&self) -> Option<(Duration, IndexSet<String>)> {
        let list = self.list();
        let age = (self.clock)().saturating_sub(list.read?);
        Some((age, list.leaving.clone()))
    }

    /// Adds to `far` each availability zone of which instances are listed though none is live as far
    /// as is known. Without them, an instance that is cut off from all others would take itself for
    /// the only one and trust an old configuration.
    pub(super) fn add_unheard(&self, zone: &[Name], far: &mut IndexMap<Name, Vec<Name>>) {
        let members = self.member.get().map(|m| m.members()).unwrap_or_default();
        let left =
            |name: &Name| members.iter().any(|m| m.name == *name && m.status == Status::Left);
        let mut heard: IndexSet<Name> = far.keys().cloned().collect();
        if zone.len() > 1 {
            heard.insert(self.zone.clone());
        }
        for (name, at) in self.listed_others().iter() {
            if !heard.contains(at) && !left(name) {
                far.entry(at.clone()).or_default().push(name.clone());
            }
        }
    }

    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().expect("no panic under the list's lock")
    }
}
