//! Sums of what instances tell of themselves.

use {
    crate::{
        EndpointHash,
        message::{Demand, Figures, Load},
    },
    indexmap::{IndexMap, map::Entry},
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Pair {
    first: u64,
    second: u64,
}

impl Pair {
    fn new(first: u32, second: u32) -> Self {
        Self { first: first.into(), second: second.into() }
    }

    fn narrow(self) -> (u32, u32) {
        let narrow = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        (narrow(self.first), narrow(self.second))
    }
}

/// Sums of figures; what was added can be removed again.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    /// Requests and unread tokens by endpoint.
    loads: IndexMap<EndpointHash, Pair>,
    /// Reading and slots by service.
    demands: IndexMap<u32, Pair>,
    /// Instances that tell of an endpoint that is about to change.
    changing: IndexMap<EndpointHash, Pair>,
}

impl Sums {
    /// Adds the figures of one instance.
    pub fn add(&mut self, figures: &Figures) {
        for load in &figures.loads {
            add(&mut self.loads, load.endpoint, Pair::new(load.open, load.tokens));
        }
        for demand in &figures.demands {
            add(&mut self.demands, demand.service, Pair::new(demand.reading, demand.slots));
        }
        for endpoint in &figures.changing {
            add(&mut self.changing, *endpoint, Pair::new(1, 0));
        }
    }

    /// Removes figures that were added before.
    pub fn remove(&mut self, figures: &Figures) {
        for load in &figures.loads {
            remove(&mut self.loads, load.endpoint, Pair::new(load.open, load.tokens));
        }
        for demand in &figures.demands {
            remove(&mut self.demands, demand.service, Pair::new(demand.reading, demand.slots));
        }
        for endpoint in &figures.changing {
            remove(&mut self.changing, *endpoint, Pair::new(1, 0));
        }
    }

    /// The sums as figures.
    pub fn figures(&self) -> Figures {
        let load = |(endpoint, sum): (&EndpointHash, &Pair)| {
            let (open, tokens) = sum.narrow();
            Load { endpoint: *endpoint, open, tokens }
        };
        let demand = |(service, sum): (&u32, &Pair)| {
            let (reading, slots) = sum.narrow();
            Demand { service: *service, reading, slots }
        };
        Figures {
            loads: self.loads.iter().map(load).collect(),
            demands: self.demands.iter().map(demand).collect(),
            changing: self.changing.keys().copied().collect(),
            holder: None,
        }
    }
}

fn add(sums: &mut IndexMap<u32, Pair>, key: u32, by: Pair) {
    let sum = sums.entry(key).or_default();
    *sum = Pair { first: sum.first + by.first, second: sum.second + by.second };
}

fn remove(sums: &mut IndexMap<u32, Pair>, key: u32, by: Pair) {
    let Entry::Occupied(mut entry) = sums.entry(key) else { return };
    let sum = entry.get_mut();
    sum.first = sum.first.saturating_sub(by.first);
    sum.second = sum.second.saturating_sub(by.second);
    if *sum == Pair::default() {
        entry.swap_remove();
    }
}
