//! Reading heads, chunks and documents from the store.

use {
    super::Result,
    crate::{
        doc::Document,
        head::{BadRecord, HEAD_KEY, Head, check_chunk, chunk_key, history_key},
        section::ChunkId,
    },
    agate_core::Generation,
    agate_store::{Purpose, Revision, Store},
    indexmap::IndexMap,
};

/// Chunks read so far, by digest.
pub(super) type Chunks = IndexMap<ChunkId, Vec<u8>>;

/// Reads the head and its revision; `None` before the first apply.
///
/// # Errors
///
/// [`Error::Store`](super::Error::Store) if the store call fails, and
/// [`Error::Record`](super::Error::Record) if the head is damaged or of another version.
pub async fn newest(store: &Store) -> Result<Option<(Revision, Head)>> {
    let Some(record) = store.get(Purpose::Config, HEAD_KEY).await? else { return Ok(None) };
    Ok(Some((record.revision, Head::decode(HEAD_KEY, &record.value)?)))
}

/// Reads the archived head of `generation`; `None` if it is absent. The current head is not
/// archived yet.
///
/// # Errors
///
/// [`Error::Store`](super::Error::Store) if the store call fails, and
/// [`Error::Record`](super::Error::Record) if the head is damaged or of another version.
pub async fn archived(store: &Store, generation: Generation) -> Result<Option<Head>> {
    let key = history_key(generation);
    let Some(record) = store.get(Purpose::Config, key.clone()).await? else { return Ok(None) };
    Ok(Some(Head::decode(&key, &record.value)?))
}

/// Reads the head and its document; `None` before the first apply.
///
/// The document is not verified again. It was verified before it was accepted, and a build with
/// stricter limits must still serve it.
///
/// # Errors
///
/// [`Error::Store`](super::Error::Store) if a store call fails, and
/// [`Error::Record`](super::Error::Record) if a record is damaged, absent or of another version.
pub async fn load(store: &Store) -> Result<Option<(Head, Document)>> {
    let Some((_, head)) = newest(store).await? else { return Ok(None) };
    let mut chunks = Chunks::new();
    let doc = document(store, &head, &mut chunks).await?;
    Ok(Some((head, doc)))
}

/// Reads the chunks of `head` that `chunks` lacks and assembles the document.
pub(super) async fn document(store: &Store, head: &Head, chunks: &mut Chunks) -> Result<Document> {
    loop {
        let missing = head.missing(|id| chunks.get(id).map(Vec::as_slice));
        if missing.is_empty() {
            break;
        }
        for id in missing {
            let bytes = chunk(store, &id).await?;
            chunks.insert(id, bytes);
        }
    }
    Ok(head.assemble(|id| chunks.get(id).map(Vec::as_slice))?)
}

/// Reads one chunk and checks its digest.
pub(super) async fn chunk(store: &Store, id: &str) -> Result<Vec<u8>> {
    let key = chunk_key(id);
    let record = store.get(Purpose::Config, key.clone()).await?;
    let bytes = record.ok_or(BadRecord::Absent { key })?.value;
    check_chunk(id, &bytes)?;
    Ok(bytes)
}
