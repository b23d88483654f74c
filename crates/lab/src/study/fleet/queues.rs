//! Work that waits and is served, second by second.

use {
    super::shape::{DEADLINE, LONG, WEIGHTS},
    crate::figures::max_min,
    agate_core::Mono,
    std::collections::VecDeque,
};

/// Organisations.
const ORGS: usize = WEIGHTS.len();

/// Work that arrived at one time.
#[derive(Clone, Copy, Debug)]
struct Cohort {
    expiry: Mono,
    tokens: f64,
    /// Whether a reclaim interrupted it.
    moved: bool,
}

/// Queues of each organisation for deadline and for long work, and what became of the work.
#[derive(Clone, Debug, Default)]
pub struct Works {
    queues: [[VecDeque<Cohort>; 2]; ORGS],
    /// Tokens asked for, by organisation.
    pub offered: [f64; ORGS],
    /// Tokens served in time, by organisation.
    pub good: [f64; ORGS],
    /// Tokens that a reclaim interrupted.
    pub moved: f64,
    /// Tokens that a reclaim interrupted and that were not served in time.
    pub lost: f64,
    /// Served in the last second, by organisation and kind of work.
    last: [[f64; 2]; ORGS],
}

impl Works {
    /// Takes in what arrives.
    pub fn arrive(&mut self, demand: &[[f64; 2]; ORGS], now: Mono) {
        for (org, asked) in demand.iter().enumerate() {
            for (kind, tokens) in asked.iter().copied().enumerate() {
                let expiry = now + [DEADLINE, LONG][kind];
                self.queues[org][kind].push_back(Cohort { expiry, tokens, moved: false });
                self.offered[org] += tokens;
            }
        }
    }

    /// Serves up to `capacity` tokens, deadline work first, in fair shares; returns what was served.
    pub fn serve(&mut self, capacity: f64, now: Mono) -> f64 {
        self.expire(now);
        let mut left = capacity;
        for kind in 0..2 {
            let asked: Vec<f64> = (0..ORGS).map(|o| self.waiting_of(o, kind)).collect();
            for (org, share) in max_min(&asked, left).into_iter().enumerate() {
                self.take(org, kind, share);
                self.good[org] += share;
                self.last[org][kind] = share;
            }
            left -= asked.iter().sum::<f64>().min(left);
        }
        capacity - left
    }

    /// Puts work back that was served in the last second and is interrupted: `share` of it.
    pub fn interrupt(&mut self, share: f64, now: Mono) {
        for org in 0..ORGS {
            for kind in 0..2 {
                let tokens = self.last[org][kind] * share;
                let expiry = now + [DEADLINE, LONG][kind];
                self.queues[org][kind].push_front(Cohort { expiry, tokens, moved: true });
                self.good[org] -= tokens;
                self.moved += tokens;
            }
        }
    }

    /// Long work that waits, in tokens.
    pub fn backlog(&self) -> f64 {
        (0..ORGS).map(|o| self.waiting_of(o, 1)).sum()
    }

    fn waiting_of(&self, org: usize, kind: usize) -> f64 {
        self.queues[org][kind].iter().map(|c| c.tokens).sum()
    }

    fn expire(&mut self, now: Mono) {
        for cohort_queue in self.queues.iter_mut().flatten() {
            let lost = cohort_queue.iter().filter(|c| c.moved && c.expiry < now);
            self.lost += lost.map(|c| c.tokens).sum::<f64>();
            cohort_queue.retain(|c| c.expiry >= now && c.tokens > 0.0);
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
