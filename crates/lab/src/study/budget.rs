//! Spend at a cap with eight instances, one of them partitioned.

use {
    crate::table::{Table, percent},
    agate_admit::budget::{
        Amount,
        owner::{Action, Input, Owner},
        spender::Spender,
    },
    agate_route::ranking::mix,
};

const INSTANCES: usize = 8;
/// Steps of a period; in each, every instance is asked to spend once and talks to the others once.
const STEPS: u64 = 1_000;
/// Step from which the last instance reaches nobody.
const PARTITION: u64 = 300;
/// Steps that a message takes.
const DELAY: usize = 2;

/// Way to keep spend under the cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Slices granted by the owner out of reserved slabs.
    Slices,
    /// Each instance adds up the counts last heard from the others.
    Gossip,
    /// An equal part of the cap for each instance.
    Split,
}

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Spend over the cap.
    pub over: Amount,
    /// Part of the cap that was spent.
    pub used: f64,
    /// Compare-and-swap operations.
    pub writes: u64,
}

/// Runs one period in which `demand` times the cap is asked for, half of it at the first instance.
pub fn measure(method: Method, cap: Amount, demand: f64, seed: u64) -> Outcome {
    let mean = cap as f64 * demand / STEPS as f64;
    let mut writes = 0;
    let mut spent = [0; INSTANCES];
    let mut heard: Vec<[Amount; INSTANCES]> = vec![spent; DELAY];
    let mut last = [0; INSTANCES];
    let mut owner = Owner::new(cap, 0);
    let mut spenders = vec![Spender::default(); INSTANCES];
    for step in 0..STEPS {
        let cut = |i: usize| i == INSTANCES - 1 && step >= PARTITION;
        for i in 0..INSTANCES {
            let part = if i == 0 { 0.5 } else { 0.5 / (INSTANCES - 1) as f64 };
            let factor = (mix(seed, step * 100 + i as u64) % 200) as f64 / 100.0;
            let amount = (mean * part * factor) as Amount;
            let seen = if cut(i) { &last } else { &heard[0] };
            let others: Amount = (0..INSTANCES).filter(|j| *j != i).map(|j| seen[j]).sum();
            let allowed = match method {
                Method::Slices => spenders[i].charge(amount),
                Method::Gossip => spent[i] + others + amount <= cap,
                Method::Split => spent[i] + amount <= cap / INSTANCES as Amount,
            };
            spent[i] += if allowed { amount } else { 0 };
            if method == Method::Slices && !cut(i) {
                let recent = (2.0 * mean * part) as Amount;
                writes += exchange(&mut owner, &mut spenders, i, recent);
            }
        }
        if step < PARTITION {
            last = spent;
        }
        let mut told = spent;
        told[INSTANCES - 1] =
            if cut(INSTANCES - 1) { last[INSTANCES - 1] } else { told[INSTANCES - 1] };
        heard.remove(0);
        heard.push(told);
    }
    let total: Amount = spent.iter().sum();
    Outcome { over: total.saturating_sub(cap), used: total as f64 / cap as f64, writes }
}

/// Lets spender `i` ask for a slice if it wants one; returns the writes to the store.
fn exchange(owner: &mut Owner<usize>, spenders: &mut [Spender], i: usize, recent: Amount) -> u64 {
    let Some(ask) = spenders[i].ask(recent) else { return 0 };
    let (period, granted, want) = (ask.period, ask.granted, ask.want);
    let mut writes = 0;
    for action in owner.step(Input::Ask { spender: i, period, granted, want }) {
        match action {
            Action::Grant { period, total, .. } => spenders[i].grant(period, total),
            Action::Deny { .. } => {}
            Action::Reserve { period, to, .. } => {
                writes += 1;
                owner.step(Input::Reserved { period, total: to });
            }
        }
    }
    writes
}

/// Compares the methods at several caps and demands.
pub fn table(seed: u64) -> Table {
    let title =
        format!("Budget with 8 instances, one partitioned at 30% of the period, seed {seed}");
    let head =
        ["cap", "demand / cap", "method", "spent over cap", "cap used", "store writes / period"];
    let mut table = Table::new(title, &head);
    let methods = [
        (Method::Gossip, "gossiped counts"),
        (Method::Split, "equal split"),
        (Method::Slices, "slices"),
    ];
    for (cap, demand) in [(100_000, 3.0), (1_000_000, 3.0), (100_000_000, 3.0), (100_000_000, 1.2)]
    {
        for (method, name) in methods {
            let outcome = measure(method, cap, demand, seed);
            table.row([
                cap.to_string(),
                format!("{demand}"),
                name.into(),
                percent(outcome.over as f64 / cap as f64),
                percent(outcome.used),
                outcome.writes.to_string(),
            ]);
        }
    }
    table
}
