//! Sums of the reports of several instances.

use {
    crate::{
        EndpointHash,
        message::{Demand, Load, LoadReport, Rate},
    },
    indexmap::{IndexMap, map::Entry},
};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    first: u64,
    second: u64,
}

impl Counts {
    fn new(first: u32, second: u32) -> Self {
        Self { first: first.into(), second: second.into() }
    }

    fn saturate(self) -> (u32, u32) {
        let saturating = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        (saturating(self.first), saturating(self.second))
    }
}

/// Sums of reports. Each report that was added can be subtracted again.
#[derive(Clone, Debug, Default)]
pub struct FigureSums {
    /// Open requests and prompt tokens not yet processed, by endpoint.
    loads: IndexMap<EndpointHash, Counts>,
    /// Prefill and decode demand, by hash of the service name.
    demands: IndexMap<u32, Counts>,
    /// Number of instances that report the endpoint as about to change, in `first`.
    changing: IndexMap<EndpointHash, Counts>,
    /// Requests, in `first`, by hash of the service name.
    rates: IndexMap<u32, Counts>,
    /// Number of instances that report.
    instances: u32,
}

impl FigureSums {
    /// Adds the report of one instance.
    pub fn add(&mut self, figures: &LoadReport) {
        self.instances += figures.instances;
        for load in &figures.loads {
            add(&mut self.loads, load.endpoint, Counts::new(load.open, load.tokens));
        }
        for demand in &figures.demands {
            add(&mut self.demands, demand.service, Counts::new(demand.reading, demand.slots));
        }
        for endpoint in &figures.changing {
            add(&mut self.changing, *endpoint, Counts::new(1, 0));
        }
        for rate in &figures.rates {
            add(&mut self.rates, rate.service, Counts::new(rate.requests, 0));
        }
    }

    /// Subtracts a report that was added before.
    pub fn remove(&mut self, figures: &LoadReport) {
        self.instances = self.instances.saturating_sub(figures.instances);
        for load in &figures.loads {
            remove(&mut self.loads, load.endpoint, Counts::new(load.open, load.tokens));
        }
        for demand in &figures.demands {
            remove(&mut self.demands, demand.service, Counts::new(demand.reading, demand.slots));
        }
        for endpoint in &figures.changing {
            remove(&mut self.changing, *endpoint, Counts::new(1, 0));
        }
        for rate in &figures.rates {
            remove(&mut self.rates, rate.service, Counts::new(rate.requests, 0));
        }
    }

    /// The sums as one report, without a lease holder. Values saturate at `u32::MAX`.
    pub fn figures(&self) -> LoadReport {
        let load = |(endpoint, sum): (&EndpointHash, &Counts)| {
            let (open, tokens) = sum.saturate();
            Load { endpoint: *endpoint, open, tokens }
        };
        let demand = |(service, sum): (&u32, &Counts)| {
            let (reading, slots) = sum.saturate();
            Demand { service: *service, reading, slots }
        };
        let rate = |(service, sum): (&u32, &Counts)| Rate {
            service: *service,
            requests: sum.saturate().0,
        };
        LoadReport {
            loads: self.loads.iter().map(load).collect(),
            demands: self.demands.iter().map(demand).collect(),
            changing: self.changing.keys().copied().collect(),
            holder: None,
            rates: self.rates.iter().map(rate).collect(),
            instances: self.instances,
        }
    }
}

fn add(sums: &mut IndexMap<u32, Counts>, key: u32, by: Counts) {
    let sum = sums.entry(key).or_default();
    *sum = Counts { first: sum.first + by.first, second: sum.second + by.second };
}

fn remove(sums: &mut IndexMap<u32, Counts>, key: u32, by: Counts) {
    let Entry::Occupied(mut entry) = sums.entry(key) else { return };
    let sum = entry.get_mut();
    sum.first = sum.first.saturating_sub(by.first);
    sum.second = sum.second.saturating_sub(by.second);
    if *sum == Counts::default() {
        entry.swap_remove();
    }
}
