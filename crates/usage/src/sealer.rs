//! State machine that seals and reports the windows of one shard, without I/O or a clock of its
//! own.
//!
//! Windows are sealed in order, with a write that succeeds only if the key is absent. If a record
//! exists already, it is used instead. So even with several presumed lease holders there is one
//! record per window, and all reports are made from it. A new holder starts from the head record
//! and repeats reports that may not have been sent, with the same figures and the same idempotency
//! key.
//!
//! One call is in flight at a time: first the head is read, then the records of recent windows,
//! then sealed windows are reported, then the next window's counters are collected and sealed.

use {
    crate::{
        clock::{window_end, window_of},
        figures::Window,
        ledger::{Ledger, PartRequest},
        sealed::{Sealed, seal},
    },
    agate_core::{FenceToken, Mono, Wall},
    agate_store::Revision,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Settings of one shard's sealer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of the shard.
    pub shard: u32,
    /// Total number of shards.
    pub shards: u32,
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window until the instances' counters are requested; at most `grace`.
    pub gather: Duration,
    /// Time from the end of a window until it is sealed.
    pub grace: Duration,
    /// Number of past windows for which late counts are accepted.
    pub horizon: u64,
    /// Delay after a failed call.
    pub retry: Duration,
    /// Time after which a call without a result counts as failed.
    pub timeout: Duration,
}

/// Head record of a shard: its progress in reporting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// First window of the shard; nothing was sealed before it.
    pub first: Window,
    /// First window that may not have been reported.
    pub unreported: Window,
    /// First window whose record has not been deleted.
    pub oldest: Window,
}

/// Call for the runner to execute, after checking the lease again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head record.
    ReadHead,
    /// Write the head record if its current revision is `expect`.
    WriteHead {
        /// Expected revision; 0 if the record must not exist.
        expect: Revision,
        /// New content.
        head: Head,
    },
    /// Read the record of a window.
    ReadRecord(Window),
    /// Write the record of a window if there is none.
    Seal(Sealed),
    /// Delete the record of a window, if it exists.
    Delete(Window),
    /// Report a sealed window.
    Report(Sealed),
    /// Request the counters of all instances. Responses are merged into the ledger; those that
    /// arrive after the sealing are adjustments.
    Gather(PartRequest),
}

/// Result of an action other than `Gather`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The head record and its revision, if it exists.
    Head(Option<(Revision, Head)>),
    /// The record of a window, as read, or as found instead of being written.
    Record(Option<Sealed>),
    /// The write succeeded with this revision.
    Written(Revision),
    /// The record no longer exists.
    Deleted,
    /// The report was accepted.
    Reported,
    /// The platform already has different figures for the window.
    Rejected,
    /// The call failed or its outcome is unknown.
    Failed,
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Call `id` has a result.
    Outcome {
        /// Number of the call, as returned by [`step`].
        id: u64,
        /// Result of the call.
        outcome: Outcome,
    },
}

/// Environment of a step.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Monotonic time.
    pub now: Mono,
    /// Wall time, as limited by [`WindowClock`](crate::clock::WindowClock).
    pub wall: Wall,
    /// Fencing token of the shard's lease, if this instance holds it.
    pub token: Option<FenceToken>,
    /// Counters collected for the shard.
    pub ledger: &'a Ledger,
}

/// The call in flight.
#[derive(Clone, Debug, PartialEq)]
struct InFlight {
    id: u64,
    sent: Mono,
    action: Action,
}

/// State of the state machine; [`step`] advances it.
#[derive(Clone, Debug)]
pub struct Sealer {
    settings: Settings,
    token: Option<FenceToken>,
    head: Option<(Revision, Head)>,
    /// Records from window `history_start` on, without gaps.
    history: Vec<Sealed>,
    history_start: Window,
    /// Whether all existing records have been read.
    loaded: bool,
    /// First unreported window, which may be ahead of the head record's.
    reported: Window,
    /// First window whose record is not deleted, which may be ahead of the head record's.
    oldest: Window,
    /// Window for which counters were last requested.
    requested: Option<Window>,
    in_flight: Option<InFlight>,
    /// Earliest time of the next call.
    next_attempt: Mono,
    calls: u64,
    /// Number of reports refused since the platform has different figures; not zero only after a
    /// fault.
    pub rejected: u64,
}

impl Sealer {
    /// Creates the sealer of one shard, without a lease.
    ///
    /// # Panics
    ///
    /// Panics if `settings.gather` is greater than `settings.grace`.
    pub fn open(settings: Settings) -> Self {
        assert!(settings.gather <= settings.grace, "gather must not be greater than grace");
        Self {
            settings,
            token: None,
            head: None,
            history: Vec::new(),
            history_start: 0,
            loaded: false,
            reported: 0,
            oldest: 0,
            requested: None,
            in_flight: None,
            next_attempt: Mono::ZERO,
            calls: 0,
            rejected: 0,
        }
    }

    /// Oldest window for which late counts are accepted.
    ///
    /// Nothing was sealed before the shard's first window, so all earlier counts are late. If the
    /// history starts later, it is unknown what was sealed before, so earlier counts are not
    /// accepted.
    pub fn oldest_accepted(&self) -> Window {
        let horizon = self.settings.horizon;
        let next = self.history_start + self.history.len() as Window;
        match self.head {
            Some((_, head)) if head.first == self.history_start => next.saturating_sub(horizon),
            _ => self.history_start.max(next.saturating_sub(horizon)),
        }
    }

    /// Number of the shard.
    pub fn shard(&self) -> u32 {
        self.settings.shard
    }

    /// Fencing token of the lease at the last step.
    pub fn token(&self) -> Option<FenceToken> {
        self.token
    }

    /// Next window to seal; `None` until all records have been read.
    pub fn next_window(&self) -> Option<Window> {
        self.loaded.then(|| self.history_start + self.history.len() as Window)
    }
}

/// Processes one input. Returns at most one action, with the number of its call.
pub fn step(s: &mut Sealer, input: Input, c: &Context<'_>) -> Vec<(u64, Action)> {
    if s.token != c.token {
        reset(s, c);
    }
    if let Input::Outcome { id, outcome } = input
        && let Some(in_flight) = s.in_flight.take_if(|f| f.id == id)
    {
        apply_outcome(s, in_flight.action, outcome, c);
    }
    let timeout = s.settings.timeout;
    if let Some(in_flight) = s.in_flight.take_if(|f| f.sent + timeout <= c.now) {
        apply_outcome(s, in_flight.action, Outcome::Failed, c);
    }
    if s.token.is_none() || s.in_flight.is_some() || c.now < s.next_attempt {
        return Vec::new();
    }
    let Some(action) = next_action(s, c) else { return Vec::new() };
    s.calls += 1;
    if !matches!(action, Action::Gather(_)) {
        s.in_flight = Some(InFlight { id: s.calls, sent: c.now, action: action.clone() });
    }
    vec![(s.calls, action)]
}

/// Discards the state of an earlier lease: another holder may have written records since.
fn reset(s: &mut Sealer, c: &Context<'_>) {
    s.token = c.token;
    s.head = None;
    s.history.clear();
    s.loaded = false;
    s.requested = None;
    s.in_flight = None;
    s.next_attempt = c.now;
}

/// Returns the next action, if there is one to be done now.
fn next_action(s: &mut Sealer, c: &Context<'_>) -> Option<Action> {
    let Some((revision, head)) = s.head else { return Some(Action::ReadHead) };
    if revision == 0 {
        return Some(Action::WriteHead { expect: 0, head });
    }
    let next = s.history_start + s.history.len() as Window;
    if !s.loaded {
        return Some(Action::ReadRecord(next));
    }
    if s.reported < next {
        let at = (s.reported - s.history_start) as usize;
        return Some(Action::Report(s.history[at].clone()));
    }
    if head.unreported < s.reported {
        let head = Head { unreported: s.reported, oldest: s.oldest, ..head };
        return Some(Action::WriteHead { expect: revision, head });
    }
    // Records are kept for twice the horizon, so that a new holder that starts from an outdated
    // head still finds those it needs.
    if s.oldest + 2 * s.settings.horizon < s.reported {
        return Some(Action::Delete(s.oldest));
    }
    let end = window_end(next, s.settings.window);
    if s.requested != Some(next) && c.wall >= end + s.settings.gather {
        s.requested = Some(next);
        let Settings { shard, shards, .. } = s.settings;
        return Some(Action::Gather(PartRequest {
            shard,
            shards,
            oldest: s.oldest_accepted(),
            newest: next,
        }));
    }
    (c.wall >= end + s.settings.grace).then(|| {
        let Settings { shard, shards, .. } = s.settings;
        Action::Seal(seal(shard, shards, next, s.oldest_accepted(), &s.history, c.ledger))
    })
}

/// Processes the result of a call.
fn apply_outcome(s: &mut Sealer, action: Action, outcome: Outcome, c: &Context<'_>) {
    match (action, outcome) {
        (Action::ReadHead, Outcome::Head(found)) => start_from_head(s, found, c),
        (Action::WriteHead { head, .. }, Outcome::Written(revision)) => {
            s.head = Some((revision, head));
        }
        (Action::WriteHead { .. }, _) => {
            // Another instance wrote it, or the outcome is unknown: read it again.
            s.head = None;
            s.next_attempt = c.now + s.settings.retry;
        }
        (Action::ReadRecord(w), Outcome::Record(found)) => load_record(s, w, found),
        (Action::Seal(own_record), Outcome::Written(_)) => append_record(s, own_record),
        (Action::Seal(_), Outcome::Record(Some(found_record))) => append_record(s, found_record),
        (Action::Seal(_), _) => {
            // The write may have succeeded: read the record first.
            s.loaded = false;
            s.next_attempt = c.now + s.settings.retry;
        }
        (Action::Delete(window), Outcome::Deleted) => s.oldest = window + 1,
        (Action::Report(sealed), Outcome::Reported) => s.reported = sealed.window + 1,
        (Action::Report(sealed), Outcome::Rejected) => {
            log::error!("window {} of shard {} has other figures", sealed.window, sealed.shard);
            s.rejected += 1;
            s.reported = sealed.window + 1;
        }
        _ => s.next_attempt = c.now + s.settings.retry,
    }
    trim_history(s);
}

/// Starts from the head record; without one, the shard starts with the current window.
fn start_from_head(s: &mut Sealer, found: Option<(Revision, Head)>, c: &Context<'_>) {
    s.history.clear();
    s.loaded = false;
    s.requested = None;
    let (revision, head) = found.unwrap_or_else(|| {
        let now = window_of(c.wall, s.settings.window);
        (0, Head { first: now, unreported: now, oldest: now })
    });
    s.history_start = head.first.max(head.unreported.saturating_sub(s.settings.horizon));
    s.reported = head.unreported;
    s.oldest = head.oldest;
    s.head = Some((revision, head));
}

/// Processes a record that was read while loading the history.
fn load_record(s: &mut Sealer, window: Window, found: Option<Sealed>) {
    match found {
        Some(sealed) => append_record(s, sealed),
        None if window < s.reported => {
            // The record of a reported window is missing. Since its content is unknown, late counts
            // up to this window cannot be distinguished from sealed ones.
            log::error!("usage record of window {window} of shard {} is missing", s.settings.shard);
            s.history.clear();
            s.history_start = window + 1;
        }
        None => s.loaded = true,
    }
}

fn append_record(s: &mut Sealer, sealed: Sealed) {
    assert_eq!(
        sealed.window,
        s.history_start + s.history.len() as Window,
        "gap in the sealed records"
    );
    s.history.push(sealed);
}

/// Removes reported records beyond the horizon from the history.
fn trim_history(s: &mut Sealer) {
    let next = s.history_start + s.history.len() as Window;
    let oldest = next.saturating_sub(s.settings.horizon).min(s.reported);
    if s.loaded && oldest > s.history_start {
        s.history.drain(..(oldest - s.history_start) as usize);
        s.history_start = oldest;
    }
}
