//! A writer's copy of its shard's records, and the functions that read them.

use {
    crate::{
        head::{self, Head, Index, Segment},
        owner::ShardId,
    },
    agate_store::{Error, Purpose, Record, Result, Revision, Store},
};

/// Head at a revision, with the index of its segments.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub revision: Revision,
    pub head: Head,
    pub index: Index,
}

pub(crate) fn head_key(shard: ShardId) -> String {
    format!("claim/{shard}")
}

pub(crate) fn segment_key(shard: ShardId, name: &str) -> String {
    format!("claim/{shard}/{name}")
}

fn malformed(key: String) -> Error {
    Error::Malformed { step: "read claims", peer: "store".into(), cause: key }
}

/// Reads a segment.
///
/// Errors: the store failed, or the segment does not exist or is malformed.
pub(crate) async fn read_segment(store: &Store, shard: ShardId, name: &str) -> Result<Segment> {
    let key = segment_key(shard, name);
    let record = store.get(Purpose::Claim, key.clone()).await?;
    record.and_then(|r| head::decode(&r.value)).ok_or_else(|| malformed(key))
}

impl View {
    /// Replaces the head by `record`, which was read from the store, and reads the segments that
    /// are not indexed yet.
    pub async fn update(
        &mut self,
        store: &Store,
        shard: ShardId,
        record: Option<Record>,
    ) -> Result<()> {
        let (revision, next) = match record {
            None => (0, Head::default()),
            Some(r) => {
                let h: Option<Head> = head::decode(&r.value);
                (r.revision, h.ok_or_else(|| malformed(head_key(shard)))?)
            }
        };
        let known = |name: &str| self.head.segments.iter().any(|s| s.name == name);
        let fresh: Vec<_> =
            next.segments.iter().filter(|s| !known(&s.name)).map(|s| s.name.clone()).collect();
        let mut read = Vec::new();
        for name in fresh {
            let segment = read_segment(store, shard, &name).await?;
            read.push((name, segment));
        }
        self.install(revision, next);
        for (name, segment) in read {
            head::index_segment(&mut self.index, &name, &segment);
        }
        Ok(())
    }

    /// Replaces the head, and removes the claims of segments that it no longer references from the
    /// index.
    pub fn install(&mut self, revision: Revision, next: Head) {
        let gone = self.head.segments.iter().any(|s| !next.segments.contains(s));
        self.revision = revision;
        self.head = next;
        if gone {
            let names: indexmap::IndexSet<&str> =
                self.head.segments.iter().map(|s| s.name.as_str()).collect();
            self.index.retain(|_, i| names.contains(&*i.segment));
        }
    }

    /// Reads the head from the store.
    pub async fn refresh(&mut self, store: &Store, shard: ShardId) -> Result<()> {
        let record = store.get(Purpose::Claim, head_key(shard)).await?;
        self.update(store, shard, record).await
    }
}
