//! Changing the configuration.

use {
    super::{
        Error, Result,
        collect::{EVERY, KEPT, collect},
        read::{self, Chunks, archived, newest},
    },
    crate::{
        doc::{Document, SCHEMA},
        head::{HEAD_KEY, Head, VERSION, chunk_key, history_key},
        index::{Tree, listed},
        section::{ChunkId, Section},
        verify::verify,
    },
    agate_core::{Generation, Wall},
    agate_store::{Purpose, Revision, Store, port},
    indexmap::{IndexMap, IndexSet},
};

/// Most times that an apply starts over because other changes came first.
const MAX_TRIES: u32 = 16;

/// A change of one or more sections.
#[derive(Clone, Debug)]
pub struct Edit {
    /// Who makes it.
    pub author: String,
    /// Identity of this apply, unique to it.
    pub token: String,
    /// Why it is made.
    pub comment: String,
    /// When it is made.
    pub time: Wall,
    /// Sections that are replaced.
    pub sections: Vec<Section>,
    /// Document whose `sections` are the new ones; the others are not read.
    pub doc: Document,
    /// Generation that the author started from; `None` for the one found in the store.
    pub base: Option<Generation>,
}

/// A change in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Generation that holds the change.
    pub generation: Generation,
    /// Whether a new generation was made; false if the sections were the same already.
    pub changed: bool,
}

/// Applies a change. A repeat with the same token and base does not apply it twice.
///
/// Generations older than [`KEPT`] and their chunks are deleted by some of the applies.
pub async fn apply(store: &Store, edit: &Edit) -> Result<Applied> {
    let done = replace(store, edit).await?;
    if done.changed && done.generation.is_multiple_of(EVERY) {
        // The change is in force all the same; a later pass makes up for this one.
        match collect(store, KEPT).await {
            Ok(count) => log::debug!("deleted {count} records of old configurations"),
            Err(e) => log::warn!("deleting old configurations: {e}"),
        }
    }
    Ok(done)
}

async fn replace(store: &Store, edit: &Edit) -> Result<Applied> {
    let mut run = Run::start(store, edit).await?;
    for _ in 0..MAX_TRIES {
        if let Some(done) = run.attempt().await.map_err(|e| run.blame(e))? {
            return Ok(done);
        }
    }
    Err(run.lost.map_or(Error::Contended(MAX_TRIES), Error::Unresolved))
}

/// Puts sections as they were in `generation` in force again, as a new generation.
///
/// `edit` names the author and the sections; its document is replaced.
pub async fn revert(store: &Store, generation: Generation, edit: Edit) -> Result<Applied> {
    let current = newest(store).await?.map(|(_, h)| h).filter(|h| h.generation == generation);
    let head = match current {
        Some(h) => h,
        None => archived(store, generation).await?.ok_or(Error::NoGeneration(generation))?,
    };
    let doc = read::document(store, &head, &mut Chunks::new()).await?;
    apply(store, &Edit { doc, ..edit }).await
}

/// One apply under way.
struct Run<'a> {
    store: &'a Store,
    edit: &'a Edit,
    /// Records of the edited sections.
    fresh: IndexMap<Section, Tree>,
    /// Head that the author started from; its edited sections must still be in force.
    base: Option<Option<Head>>,
    /// Lost answer of a compare-and-swap of the head.
    lost: Option<port::Error>,
    /// Chunks read so far.
    chunks: Chunks,
}

impl<'a> Run<'a> {
    async fn start(store: &'a Store, edit: &'a Edit) -> Result<Run<'a>> {
        let fresh = edit.sections.iter().map(|s| (*s, Tree::new(&edit.doc, *s))).collect();
        let base = match edit.base {
            None => None,
            Some(0) => Some(None),
            Some(g) => Some(Some(find(store, g).await?)),
        };
        Ok(Run { store, edit, fresh, base, lost: None, chunks: Chunks::new() })
    }

    /// Goes from a read of the head to its replacement; `None` if that must be done again.
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
        let won = self.commit(found.as_ref(), &next).await?;
        Ok(won.then_some(Applied { generation: next.generation, changed: true }))
    }

    /// A store error after a lost answer leaves the outcome unknown.
    fn blame(&self, error: Error) -> Error {
        match (error, &self.lost) {
            (Error::Store(_), Some(lost)) => Error::Unresolved(lost.clone()),
            (error, _) => error,
        }
    }

    /// Looks for this apply's token in the head and in the heads that followed the base.
    async fn find_token(&self, head: Option<&Head>) -> Result<Option<Generation>> {
        let Some(head) = head else { return Ok(None) };
        if head.token == self.edit.token {
            return Ok(Some(head.generation));
        }
        let Some(base) = &self.base else { return Ok(None) };
        let first = base.as_ref().map_or(0, |h| h.generation) + 1;
        for generation in (first..head.generation).rev() {
            // One that was deleted meanwhile may be the one that holds the token.
            let past = archived(self.store, generation).await?;
            if past.ok_or(Error::NoGeneration(generation))?.token == self.edit.token {
                return Ok(Some(generation));
            }
        }
        Ok(None)
    }

    /// Returns the head that follows `head` with the edit; `None` if the edit changes nothing.
    async fn prepare(&mut self, head: Option<&Head>) -> Result<Option<Head>> {
        self.check_race(head).await?;
        let next = self.follow(head);
        if head.is_some_and(|h| h.index == next.index) {
            return Ok(None);
        }
        let mut doc = match head {
            Some(h) => self.others(h).await?,
            None => Document { schema: SCHEMA, ..Document::default() },
        };
        for section in &self.edit.sections {
            section.copy(&mut doc, &self.edit.doc);
        }
        let faults = verify(&doc);
        if faults.is_empty() { Ok(Some(next)) } else { Err(Error::Refused(faults)) }
    }

    /// Reads the sections that are not edited.
    async fn others(&mut self, head: &Head) -> Result<Document> {
        let mut rest = head.clone();
        rest.index.retain(|section, _| !self.edit.sections.contains(section));
        read::document(self.store, &rest, &mut self.chunks).await
    }

    /// Refuses if an edited section is no longer as in the base.
    async fn check_race(&mut self, head: Option<&Head>) -> Result<()> {
        let base = self.base.get_or_insert_with(|| head.cloned());
        let Some(head) = head else { return Ok(()) };
        let was = |s| base.as_ref().map(|b| b.section(s)).unwrap_or_default();
        let raced = self.edit.sections.iter().find(|s| was(**s) != head.section(**s));
        let Some(section) = raced else { return Ok(()) };
        let other = changer(self.store, head, *section).await?;
        Err(Error::Raced {
            section: *section,
            author: other.author,
            generation: other.generation,
            comment: other.comment,
        })
    }

    fn follow(&self, head: Option<&Head>) -> Head {
        let mut index = head.map(|h| h.index.clone()).unwrap_or_default();
        index.extend(self.fresh.iter().map(|(section, tree)| (*section, tree.ids())));
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

    /// Writes chunks, the copy of the head and last the head; false if another change came first
    /// or the answer was lost.
    async fn commit(&mut self, head: Option<&(Revision, Head)>, next: &Head) -> Result<bool> {
        for (section, tree) in &self.fresh {
            let old = head.map(|(_, h)| h.section(*section)).unwrap_or_default();
            write_tree(self.store, tree, old).await?;
        }
        if let Some((_, h)) = head {
            rewrite(self.store, history_key(h.generation), &h.encode()).await?;
        }
        let expect = head.map_or(0, |(r, _)| *r);
        let done = self.store.swap(Purpose::Config, HEAD_KEY, expect, next.encode()).await;
        match done {
            Ok(won) => Ok(won.is_ok()),
            Err(e @ port::Error::Ambiguous { .. }) => {
                log::warn!("the answer to the change of the head was lost: {e}");
                self.lost = Some(e);
                Ok(false)
            }
            Err(e) => Err(e.into()),
        }
    }
}

/// Writes the records that a section whose index chunks are `old` lacks.
async fn write_tree(store: &Store, tree: &Tree, old: &[ChunkId]) -> Result<()> {
    // Chunks of the head are present, so index chunks that stay need nothing.
    let (kept, fresh): (Vec<_>, Vec<_>) = tree.index.iter().partition(|c| old.contains(&c.id));
    let mut held = IndexSet::new();
    for id in old.iter().filter(|id| !kept.iter().any(|c| c.id == **id)) {
        held.extend(listed(&read::chunk(store, id).await?).unwrap_or_default());
    }
    for chunk in fresh {
        let ids = listed(&chunk.bytes).expect("an index chunk made here");
        for id in ids.iter().filter(|id| !held.contains(*id)) {
            rewrite(store, chunk_key(id), &tree.leaves[id]).await?;
        }
        rewrite(store, chunk_key(&chunk.id), &chunk.bytes).await?;
    }
    Ok(())
}

/// Returns the newest head, from `head` backwards, that changed `section`.
async fn changer(store: &Store, head: &Head, section: Section) -> Result<Head> {
    let mut newer = head.clone();
    while let Some(older) = archived(store, newer.generation - 1).await? {
        if older.section(section) != newer.section(section) {
            break;
        }
        newer = older;
    }
    Ok(newer)
}

async fn find(store: &Store, generation: Generation) -> Result<Head> {
    match newest(store).await? {
        Some((_, h)) if h.generation == generation => Ok(h),
        _ => archived(store, generation).await?.ok_or(Error::NoGeneration(generation)),
    }
}

/// Writes an immutable record, also if it is present: its new revision keeps it from deletion.
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
