//! Garbage collection: deletes records that no retained head refers to.
//!
//! A pass marks chunks that no retained head refers to, with the revision of each. A later pass
//! deletes those that are still unused, each only if it still has the marked revision. Two rules
//! make this safe against a concurrent apply, however long it is paused, without a clock:
//! - An apply rewrites each chunk that it needs and that its head does not list. So a chunk that it
//!   relies on has another revision than the one marked before.
//! - Nothing is deleted until the head has been replaced after the mark. So an apply that wrote a
//!   chunk before the mark has either replaced the head, or will fail to replace it and then writes
//!   the chunk again.

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
    agate_store::{Call, Purpose, Revision, Store, StoreResponse, port},
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
};

/// Generations that an apply retains, including the newest.
pub const KEEP_GENERATIONS: u64 = 256;
/// An apply runs a pass after each generation that is a multiple of this.
pub const COLLECT_INTERVAL: u64 = 64;
/// Store key of the marks.
pub const MARKS_KEY: &str = "config/garbage";
/// Maximum numbers of chunks and of heads that one pass deletes, and of chunks that it marks.
const MAX_BATCH: usize = 512;
const CHUNKS: &str = "config/chunk/";
const HISTORY: &str = "config/history/";
/// Version of the marks record.
const VERSION: u32 = 1;

/// Record of the chunks that a pass found unused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Version of this record.
    pub version: u32,
    /// Generation of the head that was read after the revisions.
    pub generation: Generation,
    /// Marked revision of each chunk.
    pub chunks: IndexMap<ChunkId, Revision>,
}

/// Records that a pass found in the store.
#[derive(Clone, Debug)]
pub struct StoreContents {
    /// Generation of the head.
    pub generation: Generation,
    /// Digests of all chunks and index chunks in the store.
    pub chunks: Vec<ChunkId>,
    /// Generations whose heads are archived.
    pub history: Vec<Generation>,
    /// Chunks and index chunks of the retained heads.
    pub used: IndexSet<ChunkId>,
}

/// Deletions and marks of a pass.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Archived heads to delete, oldest first.
    pub history: Vec<Generation>,
    /// Chunks to delete, each only at this revision.
    pub delete: Vec<(ChunkId, Revision)>,
    /// Chunks to mark.
    pub mark: Vec<ChunkId>,
}

/// Returns whether the head of `generation` is retained while `newest` is the head.
fn is_retained(generation: Generation, newest: Generation, keep: u64) -> bool {
    generation + keep > newest
}

/// Plans the deletions and marks of a pass. Marks count only if the head was replaced since they
/// were made.
pub fn plan(found: &StoreContents, marks: Option<&Marks>, keep: u64) -> Plan {
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
    let expired = found.history.iter().filter(|g| !is_retained(**g, found.generation, keep));
    plan.history = expired.copied().collect();
    plan.history.sort_unstable();
    plan.history.truncate(MAX_BATCH);
    plan.delete.truncate(MAX_BATCH);
    plan.mark.truncate(MAX_BATCH);
    plan
}

/// Runs one pass that retains the newest `keep` generations, and returns the number of records
/// deleted.
///
/// # Errors
///
/// [`Error::Store`](super::Error::Store) if a store call fails, and
/// [`Error::Record`](super::Error::Record) if a record is damaged, absent or of another version.
pub async fn collect(store: &Store, keep: u64) -> Result<usize> {
    let Some((_, head)) = newest(store).await? else { return Ok(0) };
    let found = read_contents(store, head, keep.max(1)).await?;
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

async fn read_contents(store: &Store, head: Head, keep: u64) -> Result<StoreContents> {
    let generation = head.generation;
    let chunks = list_keys(store, CHUNKS).await?;
    let history = list_keys(store, HISTORY).await?;
    let history: Vec<Generation> = history.iter().filter_map(|g| g.parse().ok()).collect();
    let mut heads = vec![head];
    for retained in history.iter().filter(|g| is_retained(**g, generation, keep)) {
        heads.extend(archived(store, *retained).await?);
    }
    let mut index_chunks = Chunks::new();
    for id in heads.iter().flat_map(|h| h.index.values().flatten()) {
        if !index_chunks.contains_key(id) {
            index_chunks.insert(id.clone(), chunk(store, id).await?);
        }
    }
    let lists = heads.iter().map(|h| h.all_chunks(|id| index_chunks.get(id).map(Vec::as_slice)));
    let used = lists.flatten().collect();
    Ok(StoreContents { generation, chunks, history, used })
}

/// Returns the keys under `prefix`, without the prefix.
async fn list_keys(store: &Store, prefix: &str) -> Result<Vec<String>> {
    match store.call(Purpose::Config, Call::List { prefix: prefix.into() }).await? {
        StoreResponse::Keys(keys) => {
            Ok(keys.iter().filter_map(|k| Some(k.strip_prefix(prefix)?.into())).collect())
        }
        other => Err(unexpected("list", &other).into()),
    }
}

/// Deletes a record unless it has changed, and returns the number of records deleted.
async fn delete(store: &Store, key: String, expect: Revision) -> Result<usize> {
    let call = Call::Swap { key, expect, value: None, lease: None };
    match store.call(Purpose::Config, call).await? {
        StoreResponse::Swapped(_) => Ok(1),
        StoreResponse::Conflict(_) => Ok(0),
        other => Err(unexpected("delete", &other).into()),
    }
}

fn unexpected(step: &'static str, response: &StoreResponse) -> port::Error {
    let cause = format!("unexpected response {response:?}");
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

/// Replaces the marks, unless another pass did so first.
async fn mark(store: &Store, expect: Revision, ids: &[ChunkId]) -> Result<()> {
    let mut chunks = IndexMap::new();
    for id in ids {
        let record = store.get(Purpose::Config, chunk_key(id)).await?;
        chunks.extend(record.map(|r| (id.clone(), r.revision)));
    }
    // The head must be read after the revisions: whoever wrote a chunk had read this head or an
    // older one.
    let Some((_, head)) = newest(store).await? else { return Ok(()) };
    let marks = Marks { version: VERSION, generation: head.generation, chunks };
    let bytes = serde_json::to_vec(&marks).expect("marks have only string keys");
    if store.swap(Purpose::Config, MARKS_KEY, expect, bytes).await?.is_err() {
        log::debug!("another pass marked chunks first");
    }
    Ok(())
}
