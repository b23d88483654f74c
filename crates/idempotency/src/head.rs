//! Applies batches of changes to the head record of a claim shard. This module does no I/O.
//!
//! The head holds every open claim and the recently closed ones. When it exceeds a size limit, the
//! closed claims move to a segment: a record that is written once and is referenced by the head
//! until all its claims have expired. A key is new only if it is neither in the head nor in the
//! index of a referenced segment.
//!
//! A change carries the token of its claim, so applying it twice has the same effect as applying it
//! once. A writer can therefore repeat a batch whose result is unknown.

use {
    crate::entry::{Change, Entry, Fingerprint, KeyHash, Op, Stage, Token, Verdict},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// Version of the encoding of heads and segments.
const VERSION: u8 = 1;
/// Largest record that is decoded, in bytes.
pub const MAX_RECORD: usize = 1 << 20;

/// Limits of a shard's records.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of claims in the head above which the closed ones move to a segment.
    pub head: usize,
    /// Most open claims.
    pub open: usize,
    /// Bytes of the head and of a segment above which no claims are made.
    pub record: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head: 96 * 1024, open: 8192, record: 768 * 1024 }
    }
}

/// Reference to a segment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Last part of the segment's key in the store.
    pub name: String,
    /// Milliseconds since the Unix epoch at which its last claim expires.
    pub expiry: u64,
}

/// Head record of a claim shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Referenced segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Open claims, and closed ones that are not in a segment yet.
    pub recent: IndexMap<KeyHash, Entry>,
}

/// Record of closed claims, written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Claims by key; each is done or lost.
    pub entries: IndexMap<KeyHash, Entry>,
}

/// First half of a fingerprint, which suffices to tell two requests apart.
pub type ShortFingerprint = [u8; 16];

/// In-memory index entry of a claim in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// First half of the call's fingerprint.
    pub fingerprint: ShortFingerprint,
    /// Milliseconds since the Unix epoch at which the claim expires.
    pub expiry: u64,
    /// Whether the outcome is unknown.
    pub lost: bool,
    /// Name of the segment; its claims share the allocation.
    pub segment: Arc<str>,
}

/// Index of the claims in the referenced segments.
pub type Index = IndexMap<KeyHash, IndexEntry>;

/// Result of applying a batch.
#[derive(Debug)]
pub struct BatchResult {
    /// Head after the batch.
    pub head: Head,
    /// One verdict for each change, in order.
    pub verdicts: Vec<Verdict>,
    /// Whether the head differs from the previous one.
    pub changed: bool,
    /// Segments that the new head no longer references.
    pub dropped: Vec<SegmentRef>,
}

/// Applies `ops` to `head` at `now`, in milliseconds since the Unix epoch.
pub fn apply(head: &Head, index: &Index, ops: &[Op], now: u64, limits: &Limits) -> BatchResult {
    let mut next = head.clone();
    next.recent.retain(|_, e| e.expiry > now);
    let dropped: Vec<_> = next.segments.extract_if(.., |s| s.expiry <= now).collect();
    let mut open = next.recent.values().filter(|e| e.stage == Stage::Claimed).count();
    let verdicts =
        ops.iter().map(|op| decide(&mut next, index, op, now, &mut open, limits)).collect();
    let changed = next != *head;
    BatchResult { head: next, verdicts, changed, dropped }
}

fn decide(
    head: &mut Head,
    index: &Index,
    op: &Op,
    now: u64,
    open: &mut usize,
    limits: &Limits,
) -> Verdict {
    match &op.change {
        Change::Claim { print, expiry } => {
            if let Some(v) = existing(head, index, op, print, now) {
                return v;
            }
            if *open >= limits.open || *expiry <= now {
                return Verdict::Full;
            }
            *open += 1;
            let entry =
                Entry { print: *print, token: op.token, expiry: *expiry, stage: Stage::Claimed };
            head.recent.insert(op.key, entry);
            Verdict::Won
        }
        Change::Look { print } => existing(head, index, op, print, now).unwrap_or(Verdict::Absent),
        Change::Finish(response) => record_outcome(head, op, Stage::Done(response.clone())),
        Change::Lose => record_outcome(head, op, Stage::Lost),
        Change::Free => {
            if is_held_by(head, &op.key, op.token) {
                head.recent.shift_remove(&op.key);
            }
            Verdict::Noted
        }
    }
}

/// Verdict on a key with a claim; `None` if the key is free.
fn existing(
    head: &Head,
    index: &Index,
    op: &Op,
    fingerprint: &Fingerprint,
    now: u64,
) -> Option<Verdict> {
    if let Some(e) = head.recent.get(&op.key) {
        return Some(match &e.stage {
            _ if e.print != *fingerprint => Verdict::Conflict,
            Stage::Claimed if e.token == op.token => Verdict::Won,
            Stage::Claimed => Verdict::Held,
            Stage::Done(response) => Verdict::Ran(response.clone()),
            Stage::Lost => Verdict::Lost,
        });
    }
    let sealed = index.get(&op.key).filter(|i| i.expiry > now)?;
    Some(match sealed {
        i if i.fingerprint != truncate(fingerprint) => Verdict::Conflict,
        i if i.lost => Verdict::Lost,
        i => Verdict::Sealed(i.segment.to_string()),
    })
}

fn truncate(fingerprint: &Fingerprint) -> ShortFingerprint {
    let mut out = ShortFingerprint::default();
    out.copy_from_slice(&fingerprint[..16]);
    out
}

/// Whether the key's open claim has this token.
fn is_held_by(head: &Head, key: &KeyHash, token: Token) -> bool {
    head.recent.get(key).is_some_and(|e| e.token == token && e.stage == Stage::Claimed)
}

fn record_outcome(head: &mut Head, op: &Op, stage: Stage) -> Verdict {
    if is_held_by(head, &op.key, op.token) {
        head.recent[&op.key].stage = stage;
    }
    Verdict::Noted
}

/// Moves the closed claims of a head into a segment called `name`; `None` if there are none.
pub fn seal(head: &mut Head, name: String) -> Option<Segment> {
    let closed = head.recent.extract_if(.., |_, e| e.stage != Stage::Claimed).collect();
    let segment = Segment { entries: closed };
    let expiry = segment.entries.values().map(|e| e.expiry).max()?;
    head.segments.push(SegmentRef { name, expiry });
    Some(segment)
}

/// Adds the claims of a segment to the index.
pub fn index_segment(index: &mut Index, name: &str, segment: &Segment) {
    let name: Arc<str> = name.into();
    for (key, e) in &segment.entries {
        let lost = e.stage == Stage::Lost;
        let indexed = IndexEntry {
            fingerprint: truncate(&e.print),
            expiry: e.expiry,
            lost,
            segment: name.clone(),
        };
        index.insert(*key, indexed);
    }
}

/// Whether the claims of a head of `size` encoded bytes exceed the limit, so that the closed ones
/// should move to a segment. The segment references do not count, since a new segment adds to them.
pub fn is_full(head: &Head, size: usize, limits: &Limits) -> bool {
    size.saturating_sub(encode(&head.segments).len()) > limits.head
}

/// Encodes a head or a segment.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let out = vec![VERSION];
    postcard::to_extend(value, out).expect("plain data is always encoded")
}

/// Decodes a head or a segment; `None` if it is malformed, too large or of another version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION || bytes.len() > MAX_RECORD {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
