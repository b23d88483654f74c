//! The record that names the current configuration.
//!
//! The head lists the index chunks of every section, and these list the section's chunks. Replacing
//! the head by compare-and-swap therefore makes a whole document current at once, and gives all
//! changes one order. Each head names its parent, an immutable copy under [`history_key`].

use {
    crate::{
        doc::{Document, SCHEMA},
        index,
        section::{self, ChunkId, Section},
    },
    agate_core::{Generation, Wall},
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
};

/// Version of the head record that this build reads and writes.
pub const VERSION: u32 = 2;
/// Store key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Returns the store key of a chunk or index chunk.
pub fn chunk_key(id: &str) -> String {
    format!("config/chunk/{id}")
}

/// Returns the store key of the archived copy of a replaced head.
pub fn history_key(generation: Generation) -> String {
    format!("config/history/{generation}")
}

/// The head record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version of this record.
    pub version: u32,
    /// Number of the configuration; the first one is 1.
    pub generation: Generation,
    /// Digests of the index chunks of each section, in order.
    pub index: IndexMap<Section, Vec<ChunkId>>,
    /// Author of the change.
    pub author: String,
    /// Store key of the archived copy of the replaced head; `None` for the first.
    pub parent: Option<String>,
    /// Unique token of the apply.
    pub token: String,
    /// Time of the change.
    pub time: Wall,
    /// Reason of the change.
    pub comment: String,
}

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRecord {
    /// The record was written by a build with another format.
    #[error("record {key}: version {version} is unknown, expected {VERSION}")]
    Version {
        /// Store key of the record.
        key: String,
        /// Version found in the record.
        version: u32,
    },
    /// The record is damaged.
    #[error("record {key}: {cause}")]
    Corrupt {
        /// Store key of the record.
        key: String,
        /// Description of the damage.
        cause: String,
    },
    /// A record that the head refers to is absent.
    #[error("record {key} is absent")]
    Absent {
        /// Store key of the record.
        key: String,
    },
}

impl BadRecord {
    fn corrupt(key: impl Into<String>, cause: impl ToString) -> Self {
        Self::Corrupt { key: key.into(), cause: cause.to_string() }
    }
}

impl Head {
    /// Decodes a head that was read from `key`.
    ///
    /// # Errors
    ///
    /// [`BadRecord::Version`] if it has another version, and [`BadRecord::Corrupt`] if it is
    /// malformed or of generation zero.
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Head, BadRecord> {
        /// The field that all versions have.
        #[derive(Deserialize)]
        struct Tag {
            version: u32,
        }
        let tag: Tag = serde_json::from_slice(bytes).map_err(|e| BadRecord::corrupt(key, e))?;
        if tag.version != VERSION {
            return Err(BadRecord::Version { key: key.into(), version: tag.version });
        }
        let head: Head = serde_json::from_slice(bytes).map_err(|e| BadRecord::corrupt(key, e))?;
        if head.generation == 0 {
            return Err(BadRecord::corrupt(key, "generation zero"));
        }
        Ok(head)
    }

    /// Encodes the head as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head has only string keys")
    }

    /// Returns the digests of the index chunks of one section.
    pub fn section(&self, section: Section) -> &[ChunkId] {
        self.index.get(&section).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the known chunks of the head that `get` lacks: index chunks, and chunks listed in
    /// the available index chunks. If there are none, the head is complete.
    pub fn missing<'a>(&self, get: impl Fn(&str) -> Option<&'a [u8]>) -> Vec<ChunkId> {
        let mut out = IndexSet::new();
        for id in self.index.values().flatten() {
            let Some(bytes) = get(id) else {
                out.insert(id.clone());
                continue;
            };
            // Bytes that are not an index chunk are refused by `assemble`.
            let ids = index::child_ids(bytes).unwrap_or_default();
            out.extend(ids.into_iter().filter(|id| get(id).is_none()));
        }
        out.into_iter().collect()
    }

    /// Returns the index chunks of the head, and the chunks listed in those that are available.
    pub fn all_chunks<'a>(&self, get: impl Fn(&str) -> Option<&'a [u8]>) -> IndexSet<ChunkId> {
        let ids = self.index.values().flatten();
        let lists = ids.clone().filter_map(|id| index::child_ids(get(id)?));
        let children: Vec<ChunkId> = lists.flatten().collect();
        ids.cloned().chain(children).collect()
    }

    /// Assembles the document from its chunks; `get` returns the bytes of one.
    ///
    /// # Errors
    ///
    /// [`BadRecord::Absent`] if `get` lacks a chunk, and [`BadRecord::Corrupt`] if a chunk does not
    /// match its digest or has a wrong format.
    pub fn assemble<'a>(
        &self,
        get: impl Fn(&str) -> Option<&'a [u8]>,
    ) -> Result<Document, BadRecord> {
        let mut doc = Document { schema: SCHEMA, ..Document::default() };
        for (section, index_ids) in &self.index {
            for index_id in index_ids {
                let bytes = get_checked(index_id, &get)?;
                let Some(ids) = index::child_ids(bytes) else {
                    return Err(BadRecord::corrupt(
                        chunk_key(index_id),
                        "it is not an index chunk",
                    ));
                };
                for id in ids {
                    let result = section::add_entries(&mut doc, *section, get_checked(&id, &get)?);
                    result.map_err(|e| BadRecord::corrupt(chunk_key(&id), e))?;
                }
            }
        }
        Ok(doc)
    }
}

fn get_checked<'a>(
    id: &str,
    get: impl Fn(&str) -> Option<&'a [u8]>,
) -> Result<&'a [u8], BadRecord> {
    let Some(bytes) = get(id) else { return Err(BadRecord::Absent { key: chunk_key(id) }) };
    check_chunk(id, bytes)?;
    Ok(bytes)
}

/// Checks that the bytes are those of the chunk `id`.
///
/// # Errors
///
/// [`BadRecord::Corrupt`] if they do not match the digest.
pub fn check_chunk(id: &str, bytes: &[u8]) -> Result<(), BadRecord> {
    if section::chunk_id(bytes) == id {
        return Ok(());
    }
    Err(BadRecord::corrupt(chunk_key(id), "its content does not match its digest"))
}
