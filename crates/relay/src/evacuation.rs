//! Decides whether a stream is moved off an endpoint that leaves, and where to, as a pure function.
//!
//! A spot endpoint is gone about three seconds after its notice, and all of a zone's get theirs at once. A
//! stream that would not end before is moved to another engine of the same software version. A move costs a
//! retry permit and a slot, so streams that end in time stay.

use std::time::Duration;

/// Time from the notice of an endpoint that is reclaimed to its end, as the platform states it.
pub const NOTICE: Duration = Duration::from_secs(3);
/// Maximum time until an instance knows of the notice: the refresh interval of the endpoint list.
const NOTICE_DELAY: Duration = Duration::from_millis(600);
/// Part of the notice that is left unplanned, for streams that become slower.
const MARGIN: Duration = Duration::from_millis(400);
/// Maximum number of targets tried for one stream.
pub const MAX_TARGETS: usize = 2;
/// Maximum number of moves of one instance at once. Copies share the engines' network with running requests.
pub const MAX_MOVES: usize = 8;

/// A stream whose endpoint is leaving.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Number of its events that were forwarded.
    pub events: u32,
    /// Time since the first of them.
    pub running: Duration,
    /// Maximum number of its events; `None` if unknown.
    pub max_events: Option<u32>,
    /// Time since the instance learned that the endpoint is leaving.
    pub noticed: Duration,
    /// Whether the request is suspected of crashing endpoints.
    pub suspected: bool,
    /// Number of targets tried.
    pub tried: usize,
}

impl Stream {
    /// Expected maximum time until its end; `None` if unknown.
    pub fn left(&self) -> Option<Duration> {
        let left = self.max_events?.saturating_sub(self.events);
        // The first event begins the time, so one interval fewer has passed.
        let gap = self.running / self.events.saturating_sub(1).max(1);
        (self.events > 1).then(|| gap * left)
    }

    /// Whether it is expected to end before its endpoint does.
    fn ends_in_time(&self) -> bool {
        let remaining = (NOTICE - NOTICE_DELAY - MARGIN).saturating_sub(self.noticed);
        self.left().is_some_and(|left| left < remaining)
    }
}

/// An engine that a stream may be moved to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Whether it is a decode engine of the same service and software version.
    pub fits: bool,
    /// Whether it is in the zone of the endpoint that leaves.
    pub same_zone: bool,
    /// Whether it is leaving too.
    pub leaving: bool,
    /// Whether it is backing off, or wants no requests now by its own statements.
    pub backing_off: bool,
    /// Whether its failure detector allows its use.
    pub healthy: bool,
    /// Whether it was tried before.
    pub tried: bool,
    /// Open requests of all instances.
    pub open: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

impl Target {
    /// Number of free slots if it may be used.
    fn room(&self) -> u32 {
        let usable = self.fits && self.healthy && !self.leaving && !self.backing_off && !self.tried;
        if usable { self.slots.saturating_sub(self.open) } else { 0 }
    }
}

/// Why a stream is not moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No event with an identifier was forwarded, after which it could go on.
    NotBegun,
    /// The request is suspected of crashing endpoints.
    Suspected,
    /// It is expected to end before its endpoint does.
    EndsInTime,
    /// The maximum number of targets was tried.
    Tried,
    /// The notice has passed.
    Late,
    /// The instance moves as many streams as it may.
    Busy,
    /// No engine has room.
    NoRoom,
}

impl Reason {
    /// Stable name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotBegun => "not_begun",
            Self::Suspected => "suspected",
            Self::EndsInTime => "ends_in_time",
            Self::Tried => "tried",
            Self::Late => "late",
            Self::Busy => "busy",
            Self::NoRoom => "no_room",
        }
    }
}

/// What to do with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Move it to the target with this index.
    Move(usize),
    /// Decide again shortly: the reason may pass.
    Wait(Reason),
    /// Leave it where it is.
    Stay(Reason),
}

/// Decides about `stream` while the instance carries out `moves` moves. `draw` is random.
///
/// The first target is in the same zone if one has room there. The second may be in any zone: the streams of a
/// zone's spot endpoints can be more than its other endpoints have room for. A target is drawn with a
/// probability in proportion to its free slots: the least loaded one would get the streams of all instances
/// at once.
pub fn decide(stream: &Stream, moves: usize, targets: &[Target], draw: u32) -> Decision {
    if stream.suspected {
        return Decision::Stay(Reason::Suspected);
    }
    if stream.tried >= MAX_TARGETS {
        return Decision::Stay(Reason::Tried);
    }
    if stream.noticed > NOTICE {
        return Decision::Stay(Reason::Late);
    }
    if stream.events == 0 {
        return Decision::Wait(Reason::NotBegun);
    }
    if stream.ends_in_time() {
        return Decision::Stay(Reason::EndsInTime);
    }
    if moves >= MAX_MOVES {
        return Decision::Wait(Reason::Busy);
    }
    let near = draw_target(targets, draw, |t| t.same_zone && stream.tried == 0);
    let found = near.or_else(|| draw_target(targets, draw, |_| true));
    found.map_or(Decision::Wait(Reason::NoRoom), Decision::Move)
}

/// Index of a target that `eligible` accepts, drawn by free slots; `None` if none has room.
fn draw_target(targets: &[Target], draw: u32, eligible: impl Fn(&Target) -> bool) -> Option<usize> {
    let room = |t: &Target| if eligible(t) { u64::from(t.room()) } else { 0 };
    let total: u64 = targets.iter().map(room).sum();
    let mut left = u64::from(draw).checked_rem(total)?;
    targets.iter().position(|t| match left.checked_sub(room(t)) {
        Some(rest) => {
            left = rest;
            false
        }
        None => true,
    })
}
