//! Seals and reports the windows of one shard, as a state machine without I/O or a clock.
//!
//! Windows are sealed in order, by a write that only succeeds if the key is absent. Whoever finds a
//! record there adopts it, so however many believe that they hold the shard, one record exists and
//! every report is made from it. A successor starts from the head record and reports again what
//! may not have been reported: the same figures under the same token.
//!
//! The machine does what its state lacks, one call at a time: head, then history, then the report
//! of sealed windows, then the gathering and sealing of the next one.

use {
    crate::{
        clock::{window_end, window_of},
        figures::Window,
        ledger::{Ledger, Want},
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
    /// The shard.
    pub shard: u32,
    /// Number of shards.
    pub shards: u32,
    /// Length of a window.
    pub window: Duration,
    /// Time from the end of a window to asking the instances for their counters.
    pub gather: Duration,
    /// Time from the end of a window to its sealing.
    pub grace: Duration,
    /// Windows back to which late figures are still taken in.
    pub horizon: u64,
    /// Time from a failed call to the next.
    pub retry: Duration,
    /// Time after which an unanswered call is given up.
    pub timeout: Duration,
}

/// How far a shard has been reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// First window of the shard.
    pub first: Window,
    /// Window below which everything is reported.
    pub unreported: Window,
    /// Window below which the records have been deleted.
    pub oldest: Window,
}

/// What the adapter has to do. Each is checked against the lease once more before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head record.
    ReadHead,
    /// Write the head record if its revision is `expect`.
    WriteHead {
        /// Revision that the record must have.
        expect: Revision,
        /// New content.
        head: Head,
    },
    /// Read the record of a window.
    ReadRecord(Window),
    /// Write the record of a window, if it is absent.
    Seal(Sealed),
    /// Delete the record of a window, if it is there.
    Delete(Window),
    /// Report a sealed window.
    Report(Sealed),
    /// Ask every instance for its counters; answers are merged into the ledger, or are too late.
    Gather(Want),
}

/// Answer to an action other than `Gather`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The head record, with its revision.
    Head(Option<(Revision, Head)>),
    /// The record of a window, as read or as found in place of the one to be written.
    Record(Option<Sealed>),
    /// The write took effect at this revision.
    Written(Revision),
    /// The record is not there any more.
    Deleted,
    /// The report was taken.
    Reported,
    /// The platform has other figures for the window.
    Rejected,
    /// The call may have taken effect, or failed.
    Failed,
}

/// What happens to the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// Call `id` was answered.
    Answer {
        /// Number of the call.
        id: u64,
        /// Its answer.
        answer: Answer,
    },
}

/// What the machine sees of its surroundings.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Monotonic time.
    pub now: Mono,
    /// Guarded wall time.
    pub wall: Wall,
    /// Token of the shard's lease, if this instance may act.
    pub token: Option<FenceToken>,
    /// What has been gathered for the shard.
    pub ledger: &'a Ledger,
}

#[derive(Clone, Debug, PartialEq)]
struct Flight {
    id: u64,
    sent: Mono,
    action: Action,
}

/// State of the machine.
#[derive(Clone, Debug)]
pub struct Sealer {
    settings: Settings,
    token: Option<FenceToken>,
    head: Option<(Revision, Head)>,
    /// Records from window `base` on, without a gap.
    history: Vec<Sealed>,
    base: Window,
    /// Whether every existing record has been read.
    loaded: bool,
    /// Window below which everything is reported, written to the head or not.
    reported: Window,
    /// Window below which the records have been deleted, written to the head or not.
    oldest: Window,
    gathered: Option<Window>,
    flight: Option<Flight>,
    next: Mono,
    calls: u64,
    /// Reports that the platform refused for other figures; stays zero.
    pub rejected: u64,
}

impl Sealer {
    /// Opens the sealer of one shard, without authority.
    pub fn open(settings: Settings) -> Self {
        assert!(settings.gather <= settings.grace, "counters are gathered before sealing");
        Self {
            settings,
            token: None,
            head: None,
            history: Vec::new(),
            base: 0,
            loaded: false,
            reported: 0,
            oldest: 0,
            gathered: None,
            flight: None,
            next: Mono::ZERO,
            calls: 0,
            rejected: 0,
        }
    }

    /// Oldest window whose late figures are still taken in.
    ///
    /// Before the first window of the shard nothing was ever sealed, so all that was counted then
    /// is late; before the first known record of an older shard nothing can be told.
    pub fn floor(&self) -> Window {
        let horizon = self.settings.horizon;
        let next = self.base + self.history.len() as Window;
        match self.head {
            Some((_, head)) if head.first == self.base => next.saturating_sub(horizon),
            _ => self.base.max(next.saturating_sub(horizon)),
        }
    }

    /// The shard.
    pub fn shard(&self) -> u32 {
        self.settings.shard
    }

    /// Token of the term that the last step worked under.
    pub fn token(&self) -> Option<FenceToken> {
        self.token
    }

    /// Next window to seal, once the records have been read.
    pub fn next_window(&self) -> Option<Window> {
        self.loaded.then(|| self.base + self.history.len() as Window)
    }
}

/// Advances the machine by one input; each action comes with the number of its call.
pub fn step(s: &mut Sealer, input: Input, c: &Context<'_>) -> Vec<(u64, Action)> {
    if s.token != c.token {
        restart(s, c);
    }
    if let Input::Answer { id, answer } = input
        && let Some(flight) = s.flight.take_if(|f| f.id == id)
    {
        settle(s, flight.action, answer, c);
    }
    let timeout = s.settings.timeout;
    if let Some(flight) = s.flight.take_if(|f| f.sent + timeout <= c.now) {
        settle(s, flight.action, Answer::Failed, c);
    }
    if s.token.is_none() || s.flight.is_some() || c.now < s.next {
        return Vec::new();
    }
    let Some(action) = lacking(s, c) else { return Vec::new() };
    s.calls += 1;
    if !matches!(action, Action::Gather(_)) {
        s.flight = Some(Flight { id: s.calls, sent: c.now, action: action.clone() });
    }
    vec![(s.calls, action)]
}

/// Forgets what an earlier term knew: another holder may have been at work since.
fn restart(s: &mut Sealer, c: &Context<'_>) {
    s.token = c.token;
    s.head = None;
    s.history.clear();
    s.loaded = false;
    s.gathered = None;
    s.flight = None;
    s.next = c.now;
}

/// The next action, if there is something to do now.
fn lacking(s: &mut Sealer, c: &Context<'_>) -> Option<Action> {
    let Some((revision, head)) = s.head else { return Some(Action::ReadHead) };
    if revision == 0 {
        return Some(Action::WriteHead { expect: 0, head });
    }
    let next = s.base + s.history.len() as Window;
    if !s.loaded {
        return Some(Action::ReadRecord(next));
    }
    if s.reported < next {
        let at = (s.reported - s.base) as usize;
        return Some(Action::Report(s.history[at].clone()));
    }
    if head.unreported < s.reported {
        let head = Head { unreported: s.reported, oldest: s.oldest, ..head };
        return Some(Action::WriteHead { expect: revision, head });
    }
    // Twice the horizon: a successor that starts from an older head still finds what it needs.
    if s.oldest + 2 * s.settings.horizon < s.reported {
        return Some(Action::Delete(s.oldest));
    }
    let end = window_end(next, s.settings.window);
    if s.gathered != Some(next) && c.wall >= end + s.settings.gather {
        s.gathered = Some(next);
        let Settings { shard, shards, .. } = s.settings;
        return Some(Action::Gather(Want { shard, shards, oldest: s.floor(), newest: next }));
    }
    (c.wall >= end + s.settings.grace).then(|| {
        let Settings { shard, shards, .. } = s.settings;
        Action::Seal(seal(shard, shards, next, s.floor(), &s.history, c.ledger))
    })
}

/// Takes in the answer to a call.
fn settle(s: &mut Sealer, action: Action, answer: Answer, c: &Context<'_>) {
    match (action, answer) {
        (Action::ReadHead, Answer::Head(found)) => begin(s, found, c),
        (Action::WriteHead { head, .. }, Answer::Written(revision)) => {
            s.head = Some((revision, head));
        }
        (Action::WriteHead { .. }, _) => {
            // Another wrote it, or the outcome is unknown: start from what is there.
            s.head = None;
            s.next = c.now + s.settings.retry;
        }
        (Action::ReadRecord(w), Answer::Record(found)) => load(s, w, found),
        (Action::Seal(mine), Answer::Written(_)) => adopt(s, mine),
        (Action::Seal(_), Answer::Record(Some(theirs))) => adopt(s, theirs),
        (Action::Seal(_), _) => {
            // The write may have taken effect: read what is there before anything else.
            s.loaded = false;
            s.next = c.now + s.settings.retry;
        }
        (Action::Delete(window), Answer::Deleted) => s.oldest = window + 1,
        (Action::Report(sealed), Answer::Reported) => s.reported = sealed.window + 1,
        (Action::Report(sealed), Answer::Rejected) => {
            log::error!("window {} of shard {} has other figures", sealed.window, sealed.shard);
            s.rejected += 1;
            s.reported = sealed.window + 1;
        }
        _ => s.next = c.now + s.settings.retry,
    }
    trim(s);
}

/// Starts from the head record; a shard without one starts with the present window.
fn begin(s: &mut Sealer, found: Option<(Revision, Head)>, c: &Context<'_>) {
    s.history.clear();
    s.loaded = false;
    s.gathered = None;
    let (revision, head) = found.unwrap_or_else(|| {
        let now = window_of(c.wall, s.settings.window);
        (0, Head { first: now, unreported: now, oldest: now })
    });
    s.base = head.first.max(head.unreported.saturating_sub(s.settings.horizon));
    s.reported = head.unreported;
    s.oldest = head.oldest;
    s.head = Some((revision, head));
}

/// Takes in a record read while loading, in window order.
fn load(s: &mut Sealer, window: Window, found: Option<Sealed>) {
    match found {
        Some(sealed) => adopt(s, sealed),
        None if window < s.reported => {
            // A record of a reported window is missing. What it contained is not known, so late
            // figures up to it can no longer be told from sealed ones.
            log::error!("usage record of window {window} of shard {} is missing", s.settings.shard);
            s.history.clear();
            s.base = window + 1;
        }
        None => s.loaded = true,
    }
}

fn adopt(s: &mut Sealer, sealed: Sealed) {
    assert_eq!(sealed.window, s.base + s.history.len() as Window, "records follow each other");
    s.history.push(sealed);
}

/// Drops records beyond the horizon that are reported.
fn trim(s: &mut Sealer) {
    let next = s.base + s.history.len() as Window;
    let oldest = next.saturating_sub(s.settings.horizon).min(s.reported);
    if s.loaded && oldest > s.base {
        s.history.drain(..(oldest - s.base) as usize);
        s.base = oldest;
    }
}
