//! Crashes by request, merged from what instances saw; no I/O or clock.
//!
//! What happened is told with its age, so merging is idempotent and needs no order, and nothing is
//! told on for longer than [`NEWS`].

use {
    crate::{EndpointHash, Print},
    agate_core::Mono,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Endpoints that crashed with a request unanswered there, without an answer to it since, at which it
/// is suspected.
pub const SUSPECT_CRASHES: usize = 2;
/// Time for which a crash counts.
pub const MEMORY: Duration = Duration::from_secs(600);
/// Time for which something new is told to other instances: several rounds through a coordinator,
/// and the change to the next one.
pub const NEWS: Duration = Duration::from_secs(5);
/// Most requests remembered; the oldest are forgotten first.
pub const CAPACITY: usize = 4_096;

/// Something seen of a request, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sign {
    /// The request.
    pub print: Print,
    /// Endpoint that crashed with it unanswered; `None` if it was answered.
    pub crashed: Option<EndpointHash>,
    /// How long ago, in milliseconds.
    pub age: u32,
}

#[derive(Clone, Debug, Default)]
struct Known {
    crashes: Vec<(EndpointHash, Mono)>,
    answered: Option<Mono>,
}

impl Known {
    fn newest(&self) -> Mono {
        let crashed = self.crashes.iter().map(|(_, at)| *at).max();
        crashed.max(self.answered).unwrap_or_default()
    }

    fn on_crash(&mut self, endpoint: EndpointHash, at: Mono) {
        let answered = self.answered.is_some_and(|t| t >= at);
        let known = self.crashes.iter().any(|(e, _)| *e == endpoint);
        if !answered && !known && self.crashes.len() < SUSPECT_CRASHES {
            self.crashes.push((endpoint, at));
        }
    }

    fn on_answer(&mut self, at: Mono) {
        self.answered = self.answered.max(Some(at));
        self.crashes.retain(|(_, t)| *t > at);
    }
}

/// What is known of requests that were in flight at crashes.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    known: IndexMap<Print, Known>,
    /// Position from which the next news are taken.
    cursor: usize,
}

impl Suspicions {
    /// Notes that `endpoint` crashed with the request unanswered there.
    pub fn on_crash(&mut self, print: Print, endpoint: EndpointHash, at: Mono) {
        if self.known.len() >= CAPACITY && !self.known.contains_key(&print) {
            self.known.shift_remove_index(0);
        }
        self.known.entry(print).or_default().on_crash(endpoint, at);
    }

    /// Notes an answer to the request; returns whether that changed what is known of it.
    pub fn on_answer(&mut self, print: Print, at: Mono) -> bool {
        let Some(known) = self.known.get_mut(&print) else { return false };
        let changes = !known.crashes.is_empty();
        known.on_answer(at);
        changes
    }

    /// Whether the request is suspected.
    pub fn suspected(&self, print: Print) -> bool {
        self.known.get(&print).is_some_and(|k| k.crashes.len() >= SUSPECT_CRASHES)
    }

    /// Suspected requests, with the time of the newest crash.
    pub fn suspects(&self) -> impl Iterator<Item = (Print, Mono)> {
        let suspected = self.known.iter().filter(|(_, k)| k.crashes.len() >= SUSPECT_CRASHES);
        suspected.map(|(print, k)| (*print, k.newest()))
    }

    /// Takes in what another instance told.
    pub fn merge(&mut self, signs: &[Sign], now: Mono) {
        for sign in signs {
            let at = now.saturating_sub(Duration::from_millis(sign.age.into()));
            match sign.crashed {
                Some(endpoint) => self.on_crash(sign.print, endpoint, at),
                // Unknown requests are not suspected either way.
                None => drop(self.on_answer(sign.print, at)),
            }
        }
    }

    /// What is new, at most `count` signs; the next call goes on behind them.
    pub fn news(&mut self, count: usize, now: Mono) -> Vec<Sign> {
        let age = |at: Mono| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let fresh = |at: Mono| now.saturating_sub(at) < NEWS;
        let mut all = Vec::new();
        for (print, known) in &self.known {
            let answered = known.answered.iter().map(|at| (None, *at));
            let crashes = known.crashes.iter().map(|(endpoint, at)| (Some(*endpoint), *at));
            let signs = answered.chain(crashes).filter(|(_, at)| fresh(*at));
            all.extend(signs.map(|(crashed, at)| Sign { print: *print, crashed, age: age(at) }));
        }
        if all.len() > count {
            let from = self.cursor % all.len();
            all.rotate_left(from);
            self.cursor = self.cursor.wrapping_add(count);
            all.truncate(count);
        }
        all
    }

    /// Forgets what is old.
    pub fn prune(&mut self, now: Mono) {
        let within = |at: Mono, limit: Duration| now.saturating_sub(at) < limit;
        self.known.retain(|_, known| {
            known.crashes.retain(|(_, at)| within(*at, MEMORY));
            !known.crashes.is_empty() || known.answered.is_some_and(|at| within(at, NEWS))
        });
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
