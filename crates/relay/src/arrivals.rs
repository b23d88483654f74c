//! Admission of one request's calls to endpoints by the fleet's budget of repeats.
//!
//! Every call that reaches an endpoint counts, those that it rejects included; the first one of a
//! request is free, each further one needs a permit of the budget. One call does not count: the
//! first reading of the prompt that an engine accepts. Whether it will accept is not known before,
//! so a reading is admitted like any other call and given back afterwards.
//!
//! A call cannot be sent without a [`Pass`], and only [`Arrivals::admit`] makes one. It counts from
//! then on, also if whoever waits for the answer is cancelled.

use crate::spare::Permit;

/// Permission for one call to reach an endpoint.
#[derive(Debug)]
pub struct Pass {
    permit: Option<Permit>,
}

impl Pass {
    /// Whether the call is one beyond the first of its request.
    pub fn is_further(&self) -> bool {
        self.permit.is_some()
    }
}

/// Calls of one request that reached endpoints, or may have, and the permits it holds for more.
#[derive(Debug, Default)]
pub struct Arrivals {
    counted: u32,
    read: bool,
    held: Vec<Permit>,
}

impl Arrivals {
    /// Calls that count.
    pub fn counted(&self) -> u32 {
        self.counted
    }

    /// Permits that must be held so that the request can be run.
    pub fn needs_to_run(&self) -> usize {
        usize::from(self.counted > 0)
    }

    /// Permits that must be held so that the prompt can be read and the request run after it.
    pub fn needs_to_read(&self) -> usize {
        self.needs_to_run() + usize::from(self.read)
    }

    /// Holds `needed` permits, if `take` yields those that are missing.
    pub fn hold(&mut self, needed: usize, mut take: impl FnMut() -> Option<Permit>) -> bool {
        while self.held.len() < needed {
            let Some(permit) = take() else { return false };
            self.held.push(permit);
        }
        true
    }

    /// Admits a call, with a permit if it is not the first one; `take` yields one if none is held.
    pub fn admit(&mut self, take: impl FnMut() -> Option<Permit>) -> Option<Pass> {
        let needed = self.needs_to_run();
        if !self.hold(needed, take) {
            return None;
        }
        let mut permit = if needed > 0 { self.held.pop() } else { None };
        if let Some(permit) = &mut permit {
            permit.spend();
        }
        self.counted += 1;
        Some(Pass { permit })
    }

    /// Takes back the pass of a call of which nothing reached the endpoint.
    pub fn unsent(&mut self, pass: Pass) {
        self.uncount(pass);
    }

    /// Notes that an engine accepted the reading admitted by `pass`; returns whether it is free.
    pub fn accepted(&mut self, pass: Pass) -> bool {
        let free = !std::mem::replace(&mut self.read, true);
        if free {
            self.uncount(pass);
        }
        free
    }

    fn uncount(&mut self, pass: Pass) {
        self.counted -= 1;
        self.held.extend(pass.permit.map(Permit::unspent));
    }
}
