//! Arrivals of one request at endpoints, as the budget of repeated attempts counts them.
//!
//! Every call that reaches an endpoint counts, those that it rejects included. One does not: the
//! first reading of the prompt that an engine accepts.

/// What arrived at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request itself, to be run.
    Run,
    /// Its prompt, which the engine read and kept.
    Read,
    /// Its prompt, which the engine did not read as far as is known.
    ReadFailed,
}

/// Arrivals of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Arrivals {
    counted: u32,
    read: bool,
}

impl Arrivals {
    /// Counts an arrival; returns whether it is one beyond the first.
    pub fn note(&mut self, arrival: Arrival) -> bool {
        if arrival == Arrival::Read && !std::mem::replace(&mut self.read, true) {
            return false;
        }
        self.counted += 1;
        self.counted > 1
    }

    /// Arrivals that count.
    pub fn counted(&self) -> u32 {
        self.counted
    }
}
