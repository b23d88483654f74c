//! The pure decision: applies a batch of changes to the head record of a claim shard.
//!
//! The head holds every claim that is still open, and the closed ones of the last moments. When
//! it grows beyond a bound, the closed claims move to a segment, a record that is written once and
//! named in the head until all its claims have expired. A key is new only if it is neither in the
//! head nor in the index of a named segment.
//!
//! Applying the same change twice gives the same result, since a change carries its claim's token;
//! this is what lets a writer repeat a batch whose effect it does not know.

use {
    crate::entry::{Change, Entry, KeyHash, Op, Print, Stage, Token, Verdict},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// Version of the encoding of heads and segments.
const VERSION: u8 = 1;
/// Largest record that is decoded, in bytes.
pub const MAX_RECORD: usize = 1 << 20;

/// Bounds of a shard's records.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of claims in the head above which the closed ones move to a segment.
    pub head: usize,
    /// Claims that may be open at once.
    pub open: usize,
    /// Bytes of head and segment above which nothing more is claimed.
    pub record: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head: 96 * 1024, open: 8192, record: 768 * 1024 }
    }
}

/// A segment as the head names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Last part of the segment's key.
    pub name: String,
    /// Milliseconds since the Unix epoch at which its last claim expires.
    pub expiry: u64,
}

/// The head record of a claim shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Segments in force, oldest first.
    pub segments: Vec<SegmentRef>,
    /// Open claims, and closed ones that are not in a segment yet.
    pub recent: IndexMap<KeyHash, Entry>,
}

/// A record of closed claims, written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The claims; each is done or lost.
    pub entries: IndexMap<KeyHash, Entry>,
}

/// First half of a fingerprint, enough to tell two requests apart.
pub type ShortPrint = [u8; 16];

/// What is kept in memory of a claim in a segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Indexed {
    /// First half of the call's fingerprint.
    pub print: ShortPrint,
    /// Milliseconds since the Unix epoch at which the claim expires.
    pub expiry: u64,
    /// Whether the outcome is unknown.
    pub lost: bool,
    /// Name of the segment, shared by its claims.
    pub segment: Arc<str>,
}

/// Claims of the segments that a head names, by key.
pub type Index = IndexMap<KeyHash, Indexed>;

/// Result of applying a batch.
#[derive(Debug)]
pub struct Step {
    /// The head after the batch.
    pub head: Head,
    /// One verdict for each change.
    pub verdicts: Vec<Verdict>,
    /// Whether the head differs from the one before.
    pub changed: bool,
    /// Segments that the new head no longer names.
    pub dropped: Vec<SegmentRef>,
}

/// Applies `ops` to `head` at `now`, in milliseconds since the Unix epoch.
pub fn apply(head: &Head, index: &Index, ops: &[Op], now: u64, limits: &Limits) -> Step {
    let mut next = head.clone();
    next.recent.retain(|_, e| e.expiry > now);
    let dropped: Vec<_> = next.segments.extract_if(.., |s| s.expiry <= now).collect();
    let mut open = next.recent.values().filter(|e| e.stage == Stage::Claimed).count();
    let verdicts =
        ops.iter().map(|op| decide(&mut next, index, op, now, &mut open, limits)).collect();
    let changed = next != *head;
    Step { head: next, verdicts, changed, dropped }
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
            if let Some(v) = standing(head, index, op, print, now) {
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
        Change::Look { print } => standing(head, index, op, print, now).unwrap_or(Verdict::Absent),
        Change::Finish(answer) => close(head, op, Stage::Done(answer.clone())),
        Change::Lose => close(head, op, Stage::Lost),
        Change::Free => {
            if held_by(head, &op.key, op.token) {
                head.recent.shift_remove(&op.key);
            }
            Verdict::Noted
        }
    }
}

/// Verdict on a key that is not free.
fn standing(head: &Head, index: &Index, op: &Op, print: &Print, now: u64) -> Option<Verdict> {
    if let Some(e) = head.recent.get(&op.key) {
        return Some(match &e.stage {
            _ if e.print != *print => Verdict::Conflict,
            Stage::Claimed if e.token == op.token => Verdict::Won,
            Stage::Claimed => Verdict::Held,
            Stage::Done(answer) => Verdict::Ran(answer.clone()),
            Stage::Lost => Verdict::Lost,
        });
    }
    let sealed = index.get(&op.key).filter(|i| i.expiry > now)?;
    Some(match sealed {
        i if i.print != short(print) => Verdict::Conflict,
        i if i.lost => Verdict::Lost,
        i => Verdict::Sealed(i.segment.to_string()),
    })
}

fn short(print: &Print) -> ShortPrint {
    let mut out = ShortPrint::default();
    out.copy_from_slice(&print[..16]);
    out
}

/// Whether the key's open claim is the one with this token.
fn held_by(head: &Head, key: &KeyHash, token: Token) -> bool {
    head.recent.get(key).is_some_and(|e| e.token == token && e.stage == Stage::Claimed)
}

fn close(head: &mut Head, op: &Op, stage: Stage) -> Verdict {
    if held_by(head, &op.key, op.token) {
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
        let indexed =
            Indexed { print: short(&e.print), expiry: e.expiry, lost, segment: name.clone() };
        index.insert(*key, indexed);
    }
}

/// Whether a head of `size` bytes holds so many claims that the closed ones should be sealed.
/// The names of segments do not count, since sealing adds to them.
pub fn is_full(head: &Head, size: usize, limits: &Limits) -> bool {
    size.saturating_sub(encode(&head.segments).len()) > limits.head
}

/// Encodes a head or a segment.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let out = vec![VERSION];
    postcard::to_extend(value, out).expect("plain data is always encoded")
}

/// Decodes a head or a segment; `None` if it is not one of this version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION || bytes.len() > MAX_RECORD {
        return None;
    }
    postcard::from_bytes(rest).ok()
}
