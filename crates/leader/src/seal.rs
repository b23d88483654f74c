//! Seals usage windows in the store, also across its rollbacks.

use {
    crate::{
        Window,
        window::{self, Sealed},
    },
    agate_core::Wall,
    agate_store::{Purpose, Result, Store, era::Era},
    indexmap::IndexMap,
};

/// Era of a store that has not come back from a copy yet. An instance that starts in a later one cannot
/// know when that was.
const FIRST_ERA: Era = 1;

/// Result of sealing a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seal {
    /// The counts that every report of the window contains.
    Counts(Sealed),
    /// A former holder may have sealed it in a record that the store has lost.
    Lost,
    /// The store failed; try again.
    Failed,
}

/// Windows that an instance sealed, and the era of the store.
pub struct Seals {
    store: Store,
    sealed: IndexMap<Window, Sealed>,
    /// `None` before the first check.
    era: Option<Era>,
    /// When the store was last noticed to have come back from an older copy.
    lost_at: Wall,
}

impl Seals {
    /// Knows no window yet.
    pub fn new(store: Store) -> Self {
        Self { store, sealed: IndexMap::new(), era: None, lost_at: Wall::ZERO }
    }

    /// Writes the sealed records again that the store has lost, if it came back from an older copy.
    pub async fn check_era(&mut self, now: Wall) {
        let newest = self.store.era();
        let former = self.era.replace(newest);
        if former.unwrap_or_default().max(FIRST_ERA) >= newest {
            return;
        }
        self.lost_at = now;
        self.era = former;
        for (window, sealed) in &self.sealed {
            if let Err(e) = self.write(*window, sealed).await {
                return log::info!(event = "usage_unsealed", window, cause:% = e; "failed to seal a window again; will retry");
            }
        }
        self.era = Some(newest);
    }

    /// Seals a window that ended at `end` with the counts `own`, or reads the record that sealed it
    /// before. The present term of the lease began at `term_began`.
    pub async fn seal(&mut self, window: Window, own: Sealed, end: Wall, term_began: Wall) -> Seal {
        let known = self.sealed.get(&window).cloned();
        let may_be_lost = known.is_none() && end <= term_began.min(self.lost_at);
        let stored = match may_be_lost {
            true => self.read(window).await,
            false => self.write(window, &known.unwrap_or(own)).await,
        };
        match stored {
            Ok(Some(sealed)) => {
                self.sealed.insert(window, sealed.clone());
                Seal::Counts(sealed)
            }
            Ok(None) if may_be_lost => Seal::Lost,
            Ok(None) => Seal::Failed,
            Err(e) => {
                log::info!(event = "usage_unsealed", window, cause:% = e; "failed to seal a window; will retry");
                Seal::Failed
            }
        }
    }

    /// Forgets the windows for which `recent` is false.
    pub fn retain(&mut self, recent: impl Fn(Window) -> bool) {
        self.sealed.retain(|window, _| recent(*window));
    }

    async fn read(&self, window: Window) -> Result<Option<Sealed>> {
        let found = self.store.get(Purpose::Report, window::key(window)).await?;
        Ok(found.and_then(|r| Sealed::decode(&r.value)))
    }

    /// Writes the record of a sealed window unless there is one; returns the stored one.
    async fn write(&self, window: Window, sealed: &Sealed) -> Result<Option<Sealed>> {
        let swap = self.store.swap(Purpose::Report, window::key(window), 0, sealed.encode());
        match swap.await? {
            Ok(_) => Ok(Some(sealed.clone())),
            Err(found) => Ok(found.and_then(|r| Sealed::decode(&r.value))),
        }
    }
}
