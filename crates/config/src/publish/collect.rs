//! Deletion of what the heads that are kept do not refer to.
//!
//! A pass marks chunks that no kept head refers to, with the revision of each, and a later pass
//! deletes those that are still unused, each only at the revision marked. Two rules make that safe
//! against an apply under way, however long it is paused, without a clock:
//! - an apply rewrites each chunk that it needs and that its head does not list, so a chunk that
//!   it relies on has another revision than the one marked before;
//! - nothing is deleted until the head has been replaced after the mark, so an apply that wrote a
//!   chunk before the mark has either put it in force or will fail to replace the head, and then
//!   writes the chunk again.

use {
    super::{
        Result,
        read::{Chunks, archived, chunk, newest},
    },
    crate::{
        head::{BadRecord, Head, chunk_key, history_key},
        section::ChunkId,
    },
    agate_core::Generation,
    agate_store::{Call, Purpose, Reply, Revision, Store, port},
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
};

/// Generations that an apply keeps, the newest included.
pub const KEPT: u64 = 256;
/// An apply runs a pass after each generation that is a multiple of this.
pub const EVERY: u64 = 64;
/// Key of the marks.
pub const MARKS_KEY: &str = "config/garbage";
/// Most chunks, and most heads, that one pass deletes, and most chunks that it marks.
const MAX_BATCH: usize = 512;
const CHUNKS: &str = "config/chunk/";
const HISTORY: &str = "config/history/";
/// Version of the marks.
const VERSION: u32 = 1;

/// Chunks that a pass found unused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Version of this record.
    pub version: u32,
    /// Generation that was in force after the revisions were read.
    pub generation: Generation,
    /// Revision of each chunk.
    pub chunks: IndexMap<ChunkId, Revision>,
}

/// What a pass found in the store.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Generation in force.
    pub generation: Generation,
    /// Chunks that are present.
    pub chunks: Vec<ChunkId>,
    /// Generations whose heads are archived.
    pub history: Vec<Generation>,
    /// Chunks of the heads that are kept.
    pub used: IndexSet<ChunkId>,
}

/// What a pass does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Archived heads to delete, oldest first.
    pub history: Vec<Generation>,
    /// Chunks to delete at a revision.
    pub delete: Vec<(ChunkId, Revision)>,
    /// Chunks to mark.
    pub mark: Vec<ChunkId>,
}

/// Whether the head of `generation` is kept while `newest` is in force.
fn is_kept(generation: Generation, newest: Generation, keep: u64) -> bool {
    generation + keep > newest
}

/// Decides what a pass does.
pub fn plan(found: &Listing, marks: Option<&Marks>, keep: u64) -> Plan {
    let unused = found.chunks.iter().filter(|id| !found.used.contains(*id));
    let marks = marks.filter(|m| m.generation < found.generation);
    let marked = |id: &ChunkId| marks.and_then(|m| m.chunks.get(id)).copied();
    let mut plan = Plan::default();
    for id in unused {
        match marked(id) {
            Some(revision) => plan.delete.push((id.clone(), revision)),
            None => plan.mark.push(id.clone()),
        }
    }
    let old = found.history.iter().filter(|g| !is_kept(**g, found.generation, keep));
    plan.history = old.copied().collect();
    plan.history.sort_unstable();
    plan.history.truncate(MAX_BATCH);
    plan.delete.truncate(MAX_BATCH);
    plan.mark.truncate(MAX_BATCH);
    plan
}

/// Runs one pass that keeps the newest `keep` generations; returns the number of records deleted.
pub async fn collect(store: &Store, keep: u64) -> Result<usize> {
    let Some((_, head)) = newest(store).await? else { return Ok(0) };
    let found = listing(store, head, keep.max(1)).await?;
    let (revision, marks) = read_marks(store).await?;
    let plan = plan(&found, marks.as_ref(), keep.max(1));
    let mut deleted = 0;
    for generation in &plan.history {
        let Some(record) = store.get(Purpose::Config, history_key(*generation)).await? else {
            continue;
        };
        deleted += delete(store, history_key(*generation), record.revision).await?;
    }
    for (id, revision) in &plan.delete {
        deleted += delete(store, chunk_key(id), *revision).await?;
    }
    mark(store, revision, &plan.mark).await?;
    Ok(deleted)
}

async fn listing(store: &Store, head: Head, keep: u64) -> Result<Listing> {
    let generation = head.generation;
    let chunks = names(store, CHUNKS).await?;
    let history = names(store, HISTORY).await?;
    let history: Vec<Generation> = history.iter().filter_map(|g| g.parse().ok()).collect();
    let mut heads = vec![head];
    for kept in history.iter().filter(|g| is_kept(**g, generation, keep)) {
        heads.extend(archived(store, *kept).await?);
    }
    let mut roots = Chunks::new();
    for id in heads.iter().flat_map(|h| h.index.values().flatten()) {
        if !roots.contains_key(id) {
            roots.insert(id.clone(), chunk(store, id).await?);
        }
    }
    let lists = heads.iter().map(|h| h.listed(|id| roots.get(id).map(Vec::as_slice)));
    let used = lists.flatten().collect();
    Ok(Listing { generation, chunks, history, used })
}

/// Keys under `prefix`, without it.
async fn names(store: &Store, prefix: &str) -> Result<Vec<String>> {
    match store.call(Purpose::Config, Call::List { prefix: prefix.into() }).await? {
        Reply::Keys(keys) => {
            Ok(keys.iter().filter_map(|k| Some(k.strip_prefix(prefix)?.into())).collect())
        }
        other => Err(unexpected("list", &other).into()),
    }
}

/// Deletes a record unless it changed since; returns the number of records deleted.
async fn delete(store: &Store, key: String, expect: Revision) -> Result<usize> {
    let call = Call::Swap { key, expect, value: None, lease: None };
    match store.call(Purpose::Config, call).await? {
        Reply::Swapped(_) => Ok(1),
        Reply::Conflict(_) => Ok(0),
        other => Err(unexpected("delete", &other).into()),
    }
}

fn unexpected(step: &'static str, reply: &Reply) -> port::Error {
    let cause = format!("unexpected reply {reply:?}");
    port::Error::Malformed { step, peer: "store".into(), cause }
}

async fn read_marks(store: &Store) -> Result<(Revision, Option<Marks>)> {
    let Some(record) = store.get(Purpose::Config, MARKS_KEY).await? else { return Ok((0, None)) };
    let marks: Marks = serde_json::from_slice(&record.value)
        .map_err(|e| BadRecord::Corrupt { key: MARKS_KEY.into(), cause: e.to_string() })?;
    if marks.version != VERSION {
        return Err(BadRecord::Version { key: MARKS_KEY.into(), version: marks.version }.into());
    }
    Ok((record.revision, Some(marks)))
}

/// Marks chunks in place of those marked before, unless another pass did so first.
async fn mark(store: &Store, expect: Revision, ids: &[ChunkId]) -> Result<()> {
    let mut chunks = IndexMap::new();
    for id in ids {
        let record = store.get(Purpose::Config, chunk_key(id)).await?;
        chunks.extend(record.map(|r| (id.clone(), r.revision)));
    }
    // The head is read after the revisions: whoever wrote one had read this head or an older one.
    let Some((_, head)) = newest(store).await? else { return Ok(()) };
    let marks = Marks { version: VERSION, generation: head.generation, chunks };
    let bytes = serde_json::to_vec(&marks).expect("marks have only string keys");
    if store.swap(Purpose::Config, MARKS_KEY, expect, bytes).await?.is_err() {
        log::debug!("another pass marked chunks first");
    }
    Ok(())
}
