//! Admission of one request's calls to endpoints by the retry budget.
//!
//! Every call that reaches an endpoint counts, including rejected ones. The first call of a request
//! is free; each further one needs a permit from the retry budget. One call does not count: the
//! first prefill that an engine accepts. Acceptance is not known in advance, so a prefill is
//! admitted like any other call and uncounted afterwards.
//!
//! Sending a call requires an [`Admission`], which only [`CallTracker::admit`] makes. The call
//! counts from then on, also if the task that waits for the response is cancelled.

use crate::retry_budget::Permit;

/// Permission to send one call to an endpoint.
#[derive(Debug)]
pub struct Admission {
    permit: Option<Permit>,
}

impl Admission {
    /// Whether the call used a retry permit.
    pub fn is_retry(&self) -> bool {
        self.permit.is_some()
    }
}

/// Calls of one request that reached or may have reached endpoints, and its reserved permits.
#[derive(Debug, Default)]
pub struct CallTracker {
    counted: u32,
    prefilled: bool,
    reserved: Vec<Permit>,
}

impl CallTracker {
    /// Number of calls that count for the retry budget.
    pub fn counted(&self) -> u32 {
        self.counted
    }

    /// Number of permits to reserve before the request can be run.
    pub fn permits_to_run(&self) -> usize {
        usize::from(self.counted > 0)
    }

    /// Number of permits to reserve before the prompt can be prefilled and the request run after
    /// it.
    pub fn permits_to_prefill(&self) -> usize {
        self.permits_to_run() + usize::from(self.prefilled)
    }

    /// Reserves permits from `take` until `needed` are held; returns whether they are.
    pub fn reserve(&mut self, needed: usize, mut take: impl FnMut() -> Option<Permit>) -> bool {
        while self.reserved.len() < needed {
            let Some(permit) = take() else { return false };
            self.reserved.push(permit);
        }
        true
    }

    /// Admits a call. If it is not the first one, it uses a reserved permit or one from `take`;
    /// `None` if there is none.
    pub fn admit(&mut self, take: impl FnMut() -> Option<Permit>) -> Option<Admission> {
        let needed = self.permits_to_run();
        if !self.reserve(needed, take) {
            return None;
        }
        let mut permit = if needed > 0 { self.reserved.pop() } else { None };
        if let Some(permit) = &mut permit {
            permit.spend();
        }
        self.counted += 1;
        Some(Admission { permit })
    }

    /// Uncounts a call of which nothing reached the endpoint and reserves its permit again.
    pub fn on_unsent(&mut self, admission: Admission) {
        self.uncount(admission);
    }

    /// Records that an engine accepted the prefill of `admission`; returns whether it is uncounted,
    /// which holds for the first one.
    pub fn on_prefill_accepted(&mut self, admission: Admission) -> bool {
        let free = !std::mem::replace(&mut self.prefilled, true);
        if free {
            self.uncount(admission);
        }
        free
    }

    fn uncount(&mut self, admission: Admission) {
        self.counted -= 1;
        self.reserved.extend(admission.permit.map(Permit::unspend));
    }
}
