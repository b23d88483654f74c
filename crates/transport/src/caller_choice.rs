//! Decides which caller gives way when the memory for callers, or their connections, are used up.
//!
//! Pure functions over a list of what each caller's connection holds.

use std::{cmp::Ordering, time::Duration};

/// Bytes up to which a caller holds little. Below them callers may use the whole budget, so that small
/// requests go on while large ones compete.
pub const SMALL: usize = 96 << 10;
/// Share of the budget that callers which hold more may use, as numerator and denominator.
const LARGE_SHARE: (usize, usize) = (7, 8);
/// Least age in the computation of a rate, in seconds.
const MIN_AGE_S: f64 = 0.001;

/// What one connection of a caller holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    /// Identifier of the connection.
    pub id: u64,
    /// Bytes of memory drawn for it.
    pub held: usize,
    /// Bytes moved in both directions since its request began.
    pub moved: u64,
    /// Time since its request began, or since its last response ended.
    pub age: Duration,
    /// Whether the instance waits for this caller to send or to read.
    pub awaited: bool,
    /// Whether no request is in progress.
    pub idle: bool,
    /// Whether it is being closed already.
    pub closing: bool,
}

impl Holder {
    /// Bytes a second since the start.
    fn rate(&self) -> f64 {
        self.moved as f64 / self.age.as_secs_f64().max(MIN_AGE_S)
    }
}

/// What is asked of the budget.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Connection that asks.
    pub id: u64,
    /// Bytes that it holds already.
    pub held: usize,
    /// Further bytes.
    pub amount: usize,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// There is room.
    Grant,
    /// There will be room once what is being released is free.
    Wait,
    /// Drop this connection, then ask again.
    Drop(u64),
    /// Refuse what asks.
    Refuse,
}

/// Whether a caller that holds `held` bytes may draw `amount` more of a budget of which `used` is drawn.
pub fn fits(limit: usize, used: usize, held: usize, amount: usize) -> bool {
    let large = held.saturating_add(amount) > SMALL;
    let (of, parts) = if large { LARGE_SHARE } else { (1, 1) };
    used.saturating_add(amount) <= limit / parts * of
}

/// Decides what happens to `ask`, given all `holders`, which draw `used` of `limit` bytes together.
pub fn choose(holders: &[Holder], limit: usize, used: usize, ask: Ask) -> Choice {
    let Ask { id, held, amount } = ask;
    if fits(limit, used, held, amount) {
        return Choice::Grant;
    }
    let releasing: usize = holders.iter().filter(|h| h.closing).map(|h| h.held).sum();
    if fits(limit, used.saturating_sub(releasing), held, amount) {
        return Choice::Wait;
    }
    let open = || holders.iter().filter(|h| h.awaited && !h.closing);
    let slowest = |a: &&Holder, b: &&Holder| by_rate(a, b);
    let large = open().filter(|h| h.held > SMALL).min_by(slowest);
    // Many callers may hold little each; then the slowest of them gives way to the next.
    let chosen = large.or_else(|| open().filter(|h| h.id != id).min_by(slowest));
    match chosen {
        Some(h) if h.id != id => Choice::Drop(h.id),
        _ => Choice::Refuse,
    }
}

/// Chooses the connection that gives way to a new one: the one idle for longest, else the slowest that is
/// waited for.
pub fn choose_connection(holders: &[Holder]) -> Option<u64> {
    let open = || holders.iter().filter(|h| h.awaited && !h.closing);
    let idle = open().filter(|h| h.idle).max_by_key(|h| h.age);
    idle.or_else(|| open().min_by(|a, b| by_rate(a, b))).map(|h| h.id)
}

/// Chooses the caller that has read least of what is held for it.
pub fn choose_unread(holders: &[Holder]) -> Option<u64> {
    let open = holders.iter().filter(|h| h.awaited && !h.idle && !h.closing);
    open.min_by(|a, b| by_rate(a, b)).map(|h| h.id)
}

fn by_rate(a: &Holder, b: &Holder) -> Ordering {
    a.rate().total_cmp(&b.rate())
}
