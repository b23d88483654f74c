//! The one record that names the configuration in force.
//!
//! The head lists the index chunks of every section, and these list its chunks, so replacing it by compare-and-swap puts a whole
//! document in force at once and gives all changes one order. Each head names its parent, an
//! immutable copy under [`history_key`].

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
/// Key of the head.
pub const HEAD_KEY: &str = "config/head";

/// Key of a chunk.
pub fn chunk_key(id: &str) -> String {
    format!("config/chunk/{id}")
}

/// Key of the immutable copy of a head that has been replaced.
pub fn history_key(generation: Generation) -> String {
    format!("config/history/{generation}")
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Version of this record.
    pub version: u32,
    /// Number of the configuration.
    pub generation: Generation,
    /// Index chunks of each section, in order.
    pub index: IndexMap<Section, Vec<ChunkId>>,
    /// Who applied it.
    pub author: String,
    /// Key of the head that it replaced.
    pub parent: Option<String>,
    /// Identity of the apply, unique to it.
    pub token: String,
    /// When it was applied.
    pub time: Wall,
    /// Why it was applied.
    pub comment: String,
}

/// A record that was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRecord {
    /// The record was written by a build with another format.
    #[error("record {key}: version {version} is unknown, expected {VERSION}")]
    Version {
        /// Key of the record.
        key: String,
        /// Version found.
        version: u32,
    },
    /// The record is damaged.
    #[error("record {key}: {cause}")]
    Corrupt {
        /// Key of the record.
        key: String,
        /// What is wrong.
        cause: String,
    },
    /// A record that the head refers to is absent.
    #[error("record {key} is absent")]
    Absent {
        /// Key of the record.
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
    pub fn decode(key: &str, bytes: &[u8]) -> Result<Head, BadRecord> {
        /// The one field that every version has.
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

    /// Encodes the head.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a head has only string keys")
    }

    /// Index chunks of one section.
    pub fn section(&self, section: Section) -> &[ChunkId] {
        self.index.get(&section).map(Vec::as_slice).unwrap_or_default()
    }

    /// Chunks that are known to belong to the head and that `get` lacks: index chunks, and chunks
    /// that the index chunks at hand list. Nothing is missing once this is empty.
    pub fn missing<'a>(&self, get: impl Fn(&str) -> Option<&'a [u8]>) -> Vec<ChunkId> {
        let mut out = IndexSet::new();
        for id in self.index.values().flatten() {
            let Some(bytes) = get(id) else {
                out.insert(id.clone());
                continue;
            };
            // One that is no index chunk is refused when the document is put together.
            let ids = index::listed(bytes).unwrap_or_default();
            out.extend(ids.into_iter().filter(|id| get(id).is_none()));
        }
        out.into_iter().collect()
    }

    /// Chunks of the head, as far as its index chunks are at hand.
    pub fn listed<'a>(&self, get: impl Fn(&str) -> Option<&'a [u8]>) -> IndexSet<ChunkId> {
        let ids = self.index.values().flatten();
        let lists = ids.clone().filter_map(|id| index::listed(get(id)?));
        let leaves: Vec<ChunkId> = lists.flatten().collect();
        ids.cloned().chain(leaves).collect()
    }

    /// Puts the document together from its chunks; `get` returns the bytes of one.
    pub fn assemble<'a>(
        &self,
        get: impl Fn(&str) -> Option<&'a [u8]>,
    ) -> Result<Document, BadRecord> {
        let mut doc = Document { schema: SCHEMA, ..Document::default() };
        for (section, roots) in &self.index {
            for root in roots {
                let bytes = checked(root, &get)?;
                let Some(ids) = index::listed(bytes) else {
                    return Err(BadRecord::corrupt(chunk_key(root), "it is no index chunk"));
                };
                for id in ids {
                    let joined = section::join(&mut doc, *section, checked(&id, &get)?);
                    joined.map_err(|e| BadRecord::corrupt(chunk_key(&id), e))?;
                }
            }
        }
        Ok(doc)
    }
}

fn checked<'a>(id: &str, get: impl Fn(&str) -> Option<&'a [u8]>) -> Result<&'a [u8], BadRecord> {
    let Some(bytes) = get(id) else { return Err(BadRecord::Absent { key: chunk_key(id) }) };
    check_chunk(id, bytes)?;
    Ok(bytes)
}

/// Refuses bytes that are not those of the chunk `id`.
pub fn check_chunk(id: &str, bytes: &[u8]) -> Result<(), BadRecord> {
    if section::chunk_id(bytes) == id {
        return Ok(());
    }
    Err(BadRecord::corrupt(chunk_key(id), "its content does not match its digest"))
}
