//! Queues of work, served in steps of one second.

use {
    super::scenario::{DEADLINE, LONG, WEIGHTS},
    crate::results::max_min,
    agate_core::Mono,
    std::collections::VecDeque,
};

/// Number of organisations.
const ORGS: usize = WEIGHTS.len();

/// Work that arrived at the same time.
#[derive(Clone, Copy, Debug)]
struct Cohort {
    expiry: Mono,
    /// Remaining tokens.
    tokens: f64,
    /// Whether a reclaim interrupted it.
    interrupted: bool,
}

/// Queues of deadline and long work of each organisation, with totals.
#[derive(Clone, Debug, Default)]
pub struct WorkQueues {
    queues: [[VecDeque<Cohort>; 2]; ORGS],
    /// Tokens of all work that arrived, by organisation.
    pub offered: [f64; ORGS],
    /// Tokens served in time, by organisation.
    pub good: [f64; ORGS],
    /// Tokens whose processing a reclaim interrupted.
    pub interrupted: f64,
    /// Interrupted tokens that were not served in time.
    pub lost: f64,
    /// Tokens served in the last second, by organisation and kind of work.
    last_served: [[f64; 2]; ORGS],
}

impl WorkQueues {
    /// Adds the work that arrives in one second.
    pub fn arrive(&mut self, arrivals: &[[f64; 2]; ORGS], now: Mono) {
        for (org, demands) in arrivals.iter().enumerate() {
            for (kind, tokens) in demands.iter().copied().enumerate() {
                let expiry = now + [DEADLINE, LONG][kind];
                self.queues[org][kind].push_back(Cohort { expiry, tokens, interrupted: false });
                self.offered[org] += tokens;
            }
        }
    }

    /// Serves up to `capacity` tokens, deadline work first, with max-min fair shares for the
    /// organisations; returns the number of tokens served.
    pub fn serve(&mut self, capacity: f64, now: Mono) -> f64 {
        self.expire(now);
        let mut left = capacity;
        for kind in 0..2 {
            let demands: Vec<f64> = (0..ORGS).map(|o| self.waiting_tokens(o, kind)).collect();
            for (org, share) in max_min(&demands, left).into_iter().enumerate() {
                self.take(org, kind, share);
                self.good[org] += share;
                self.last_served[org][kind] = share;
            }
            left -= demands.iter().sum::<f64>().min(left);
        }
        capacity - left
    }

    /// Returns the fraction `share` of the work served in the last second to the queues, as
    /// interrupted.
    pub fn interrupt(&mut self, share: f64, now: Mono) {
        for org in 0..ORGS {
            for kind in 0..2 {
                let tokens = self.last_served[org][kind] * share;
                let expiry = now + [DEADLINE, LONG][kind];
                self.queues[org][kind].push_front(Cohort { expiry, tokens, interrupted: true });
                self.good[org] -= tokens;
                self.interrupted += tokens;
            }
        }
    }

    /// Waiting long work, in tokens.
    pub fn backlog(&self) -> f64 {
        (0..ORGS).map(|o| self.waiting_tokens(o, 1)).sum()
    }

    fn waiting_tokens(&self, org: usize, kind: usize) -> f64 {
        self.queues[org][kind].iter().map(|c| c.tokens).sum()
    }

    fn expire(&mut self, now: Mono) {
        for queue in self.queues.iter_mut().flatten() {
            let lost = queue.iter().filter(|c| c.interrupted && c.expiry < now);
            self.lost += lost.map(|c| c.tokens).sum::<f64>();
            queue.retain(|c| c.expiry >= now && c.tokens > 0.0);
        }
    }

    fn take(&mut self, org: usize, kind: usize, mut tokens: f64) {
        let queue = &mut self.queues[org][kind];
        while let Some(first) = queue.front_mut() {
            let part = first.tokens.min(tokens);
            first.tokens -= part;
            tokens -= part;
            if first.tokens > 1e-9 {
                return;
            }
            queue.pop_front();
        }
    }
}
