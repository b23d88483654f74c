//! Changing the configuration in the store.

use {
    super::{
        Error, Result,
        collect::{COLLECT_INTERVAL, KEEP_GENERATIONS, collect},
        read::{self, Chunks, archived, newest},
    },
    crate::{
        doc::{Document, SCHEMA},
        head::{HEAD_KEY, Head, VERSION, chunk_key, history_key},
        index::{Tree, child_ids},
        section::{ChunkId, Section},
        verify::verify,
    },
    agate_core::{Generation, Wall},
    agate_store::{Purpose, Revision, Store, port},
    indexmap::{IndexMap, IndexSet},
};

/// Maximum number of attempts of an apply when concurrent changes come first.
const MAX_ATTEMPTS: u32 = 16;

/// A change that replaces one or more sections.
#[derive(Clone, Debug)]
pub struct Edit {
    /// Name of the author.
    pub author: String,
    /// Unique token of this apply, the same for its retries.
    pub token: String,
    /// Reason of the change, for the history.
    pub comment: String,
    /// Time of the change.
    pub time: Wall,
    /// Sections to replace.
    pub sections: Vec<Section>,
    /// Document with the new contents of `sections`; its other sections are ignored.
    pub doc: Document,
    /// Generation that the author started from; `None` for the one in the store.
    pub base: Option<Generation>,
}

/// Result of an apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Generation that contains the change.
    pub generation: Generation,
    /// Whether there is a new generation; false if the sections were the same already.
    pub changed: bool,
}

/// Applies a change. A retry with the same token and base does not apply it twice.
///
/// After every [`COLLECT_INTERVAL`] generations, it deletes the generations older than the newest [`KEEP_GENERATIONS`] and
/// their chunks. A failure of the deletion is only logged.
///
/// # Errors
///
/// [`Error::Refused`] if the resulting document has problems, [`Error::Conflict`] if another author
/// changed the same section since the base, [`Error::NoGeneration`] if the base is not in the
/// history, [`Error::Contended`] if concurrent changes came first in every attempt,
/// [`Error::Unresolved`] if the outcome is unknown, [`Error::Record`] if a record in the store is
/// refused, and [`Error::Store`] if a store call fails.
pub async fn apply(store: &Store, edit: &Edit) -> Result<Applied> {
    let done = replace(store, edit).await?;
    if done.changed && done.generation.is_multiple_of(COLLECT_INTERVAL) {
        // The change is current all the same. A later pass deletes what this one did not.
        match collect(store, KEEP_GENERATIONS).await {
            Ok(count) => log::debug!("deleted {count} records of old configurations"),
            Err(e) => log::warn!("deleting old configurations: {e}"),
        }
    }
    Ok(done)
}

async fn replace(store: &Store, edit: &Edit) -> Result<Applied> {
    let mut apply_state = Apply::start(store, edit).await?;
    for _ in 0..MAX_ATTEMPTS {
        if let Some(done) = apply_state.attempt().await.map_err(|e| apply_state.resolve_error(e))? {
            return Ok(done);
        }
    }
    Err(apply_state.lost_response.map_or(Error::Contended(MAX_ATTEMPTS), Error::Unresolved))
}

/// Reverts sections to their content in `generation`, as a new generation.
///
/// `edit` names the author and the sections; its document is replaced.
///
/// # Errors
///
/// [`Error::NoGeneration`] if `generation` is not in the history, and otherwise those of [`apply`].
pub async fn revert(store: &Store, generation: Generation, edit: Edit) -> Result<Applied> {
    let current = newest(store).await?.map(|(_, h)| h).filter(|h| h.generation == generation);
    let head = match current {
        Some(h) => h,
        None => archived(store, generation).await?.ok_or(Error::NoGeneration(generation))?,
    };
    let doc = read::document(store, &head, &mut Chunks::new()).await?;
    apply(store, &Edit { doc, ..edit }).await
}

/// State of one apply.
struct Apply<'a> {
    store: &'a Store,
    edit: &'a Edit,
    /// New chunks and index chunks of the edited sections.
    new_trees: IndexMap<Section, Tree>,
    /// Head that the author started from. The edited sections must not have changed since.
    base: Option<Option<Head>>,
    /// Error of a compare-and-swap of the head whose response was lost.
    lost_response: Option<port::Error>,
    /// Chunks read so far.
    chunks: Chunks,
}

impl<'a> Apply<'a> {
    async fn start(store: &'a Store, edit: &'a Edit) -> Result<Apply<'a>> {
        let new_trees = edit.sections.iter().map(|s| (*s, Tree::new(&edit.doc, *s))).collect();
        let base = match edit.base {
            None => None,
            Some(0) => Some(None),
            Some(g) => Some(Some(find_head(store, g).await?)),
        };
        Ok(Apply { store, edit, new_trees, base, lost_response: None, chunks: Chunks::new() })
    }

    /// Makes one attempt, from reading the head to replacing it. Returns `None` if it must be
    /// retried.
    async fn attempt(&mut self) -> Result<Option<Applied>> {
        let found = newest(self.store).await?;
        let head = found.as_ref().map(|(_, h)| h);
        if let Some(generation) = self.find_token(head).await? {
            return Ok(Some(Applied { generation, changed: true }));
        }
        let Some(next) = self.prepare(head).await? else {
            let generation = head.map_or(0, |h| h.generation);
            return Ok(Some(Applied { generation, changed: false }));
        };
        let replaced = self.commit(found.as_ref(), &next).await?;
        Ok(replaced.then_some(Applied { generation: next.generation, changed: true }))
    }

    /// Maps a store error after a lost response to an unknown outcome.
    fn resolve_error(&self, error: Error) -> Error {
        match (error, &self.lost_response) {
            (Error::Store(_), Some(lost_response)) => Error::Unresolved(lost_response.clone()),
            (error, _) => error,
        }
    }

    /// Searches for this apply's token in the head and in the heads that followed the base.
    async fn find_token(&self, head: Option<&Head>) -> Result<Option<Generation>> {
        let Some(head) = head else { return Ok(None) };
        if head.token == self.edit.token {
            return Ok(Some(head.generation));
        }
        let Some(base) = &self.base else { return Ok(None) };
        let first = base.as_ref().map_or(0, |h| h.generation) + 1;
        for generation in (first..head.generation).rev() {
            // The head that holds the token may have been deleted.
            let record = archived(self.store, generation).await?;
            if record.ok_or(Error::NoGeneration(generation))?.token == self.edit.token {
                return Ok(Some(generation));
            }
        }
        Ok(None)
    }

    /// Verifies the resulting document and returns the head that follows `head`. Returns `None` if
    /// the edit changes nothing.
    async fn prepare(&mut self, head: Option<&Head>) -> Result<Option<Head>> {
        self.check_race(head).await?;
        let next = self.next_head(head);
        if head.is_some_and(|h| h.index == next.index) {
            return Ok(None);
        }
        let mut doc = match head {
            Some(h) => self.unedited(h).await?,
            None => Document { schema: SCHEMA, ..Document::default() },
        };
        for section in &self.edit.sections {
            section.copy(&mut doc, &self.edit.doc);
        }
        let problems = verify(&doc);
        if problems.is_empty() { Ok(Some(next)) } else { Err(Error::Refused(problems)) }
    }

    /// Reads the sections that are not edited.
    async fn unedited(&mut self, head: &Head) -> Result<Document> {
        let mut rest = head.clone();
        rest.index.retain(|section, _| !self.edit.sections.contains(section));
        read::document(self.store, &rest, &mut self.chunks).await
    }

    /// Refuses the edit if an edited section has changed since the base.
    async fn check_race(&mut self, head: Option<&Head>) -> Result<()> {
        let base = self.base.get_or_insert_with(|| head.cloned());
        let Some(head) = head else { return Ok(()) };
        let base_section = |s| base.as_ref().map(|b| b.section(s)).unwrap_or_default();
        let conflict = self.edit.sections.iter().find(|s| base_section(**s) != head.section(**s));
        let Some(section) = conflict else { return Ok(()) };
        let other = last_change(self.store, head, *section).await?;
        Err(Error::Conflict {
            section: *section,
            author: other.author,
            generation: other.generation,
            comment: other.comment,
        })
    }

    fn next_head(&self, head: Option<&Head>) -> Head {
        let mut index = head.map(|h| h.index.clone()).unwrap_or_default();
        index.extend(self.new_trees.iter().map(|(section, tree)| (*section, tree.ids())));
        index.retain(|_, ids| !ids.is_empty());
        index.sort_unstable_keys();
        Head {
            version: VERSION,
            generation: head.map_or(0, |h| h.generation) + 1,
            index,
            author: self.edit.author.clone(),
            parent: head.map(|h| history_key(h.generation)),
            token: self.edit.token.clone(),
            time: self.edit.time,
            comment: self.edit.comment.clone(),
        }
    }

    /// Writes the chunks, the archived copy of the old head, and last the new head. Returns false
    /// if another change came first or the response was lost.
    async fn commit(&mut self, head: Option<&(Revision, Head)>, next: &Head) -> Result<bool> {
        for (section, tree) in &self.new_trees {
            let old = head.map(|(_, h)| h.section(*section)).unwrap_or_default();
            write_tree(self.store, tree, old).await?;
        }
        if let Some((_, h)) = head {
            rewrite(self.store, history_key(h.generation), &h.encode()).await?;
        }
        let expect = head.map_or(0, |(r, _)| *r);
        let done = self.store.swap(Purpose::Config, HEAD_KEY, expect, next.encode()).await;
        match done {
            Ok(replaced) => Ok(replaced.is_ok()),
            Err(e @ port::Error::Ambiguous { .. }) => {
                log::warn!("the response to the replacement of the head was lost: {e}");
                self.lost_response = Some(e);
                Ok(false)
            }
            Err(e) => Err(e.into()),
        }
    }
}

/// Writes the chunks and index chunks of a section that are not among those of the index chunks
/// `old`.
async fn write_tree(store: &Store, tree: &Tree, old: &[ChunkId]) -> Result<()> {
    // All chunks of the head are present, so unchanged index chunks need no writes.
    let (unchanged, added): (Vec<_>, Vec<_>) = tree.index.iter().partition(|c| old.contains(&c.id));
    let mut stored = IndexSet::new();
    for id in old.iter().filter(|id| !unchanged.iter().any(|c| c.id == **id)) {
        stored.extend(child_ids(&read::chunk(store, id).await?).unwrap_or_default());
    }
    for chunk in added {
        let ids = child_ids(&chunk.bytes).expect("an index chunk made here");
        for id in ids.iter().filter(|id| !stored.contains(*id)) {
            rewrite(store, chunk_key(id), &tree.leaves[id]).await?;
        }
        rewrite(store, chunk_key(&chunk.id), &chunk.bytes).await?;
    }
    Ok(())
}

/// Returns the newest head, from `head` backwards, that changed `section`.
async fn last_change(store: &Store, head: &Head, section: Section) -> Result<Head> {
    let mut newer = head.clone();
    while let Some(older) = archived(store, newer.generation - 1).await? {
        if older.section(section) != newer.section(section) {
            break;
        }
        newer = older;
    }
    Ok(newer)
}

async fn find_head(store: &Store, generation: Generation) -> Result<Head> {
    match newest(store).await? {
        Some((_, h)) if h.generation == generation => Ok(h),
        _ => archived(store, generation).await?.ok_or(Error::NoGeneration(generation)),
    }
}

/// Writes an immutable record. It is written even if present, since the new revision protects it
/// from deletion.
async fn rewrite(store: &Store, key: String, bytes: &[u8]) -> Result<()> {
    let mut expect = 0;
    loop {
        match store.swap(Purpose::Config, key.clone(), expect, bytes.to_vec()).await {
            Ok(Ok(_)) => return Ok(()),
            Ok(Err(present)) => expect = present.map_or(0, |r| r.revision),
            Err(e) => return Err(e.into()),
        }
    }
}
