//! Spending against a budget cap by eight instances, one of which is partitioned.

use {
    crate::table::{Table, percent},
    agate_admit::budget::{
        Amount,
        owner::{Action, Input, Owner},
        spender::Spender,
    },
    agate_route::ranking::mix,
};

/// Number of instances.
const INSTANCES: usize = 8;
/// Steps of a budget period. In each step, every instance gets one charge and sends one message.
const STEPS: u64 = 1_000;
/// Step from which the last instance is partitioned.
const PARTITION: u64 = 300;
/// Message delay, in steps.
const MESSAGE_DELAY: usize = 2;

/// Method of keeping the spending below the cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// The owner reserves parts of the budget in the store and grants slices of them, as in
    /// production.
    Slices,
    /// Each instance adds up the last known counts of the others.
    Gossip,
    /// Each instance has an equal part of the cap.
    Split,
}

/// Result of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Amount spent over the cap.
    pub over: Amount,
    /// Amount spent, as a fraction of the cap.
    pub used: f64,
    /// Number of compare-and-swap writes to the store.
    pub writes: u64,
}

/// Runs one period with a demand of `demand` times the cap, half of it at the first instance.
pub fn measure(method: Method, cap: Amount, demand: f64, seed: u64) -> Outcome {
    let mean = cap as f64 * demand / STEPS as f64;
    let mut writes = 0;
    let mut spent = [0; INSTANCES];
    let mut gossip: Vec<[Amount; INSTANCES]> = vec![spent; MESSAGE_DELAY];
    let mut last_gossip = [0; INSTANCES];
    let mut owner = Owner::new(cap, 0);
    let mut spenders = vec![Spender::default(); INSTANCES];
    for step in 0..STEPS {
        let partitioned = |i: usize| i == INSTANCES - 1 && step >= PARTITION;
        for i in 0..INSTANCES {
            let part = if i == 0 { 0.5 } else { 0.5 / (INSTANCES - 1) as f64 };
            let factor = (mix(seed, step * 100 + i as u64) % 200) as f64 / 100.0;
            let amount = (mean * part * factor) as Amount;
            let known = if partitioned(i) { &last_gossip } else { &gossip[0] };
            let others: Amount = (0..INSTANCES).filter(|j| *j != i).map(|j| known[j]).sum();
            let allowed = match method {
                Method::Slices => spenders[i].charge(amount),
                Method::Gossip => spent[i] + others + amount <= cap,
                Method::Split => spent[i] + amount <= cap / INSTANCES as Amount,
            };
            spent[i] += if allowed { amount } else { 0 };
            if method == Method::Slices && !partitioned(i) {
                let recent = (2.0 * mean * part) as Amount;
                writes += exchange(&mut owner, &mut spenders, i, recent);
            }
        }
        if step < PARTITION {
            last_gossip = spent;
        }
        let mut reported = spent;
        reported[INSTANCES - 1] = if partitioned(INSTANCES - 1) {
            last_gossip[INSTANCES - 1]
        } else {
            reported[INSTANCES - 1]
        };
        gossip.remove(0);
        gossip.push(reported);
    }
    let total: Amount = spent.iter().sum();
    Outcome { over: total.saturating_sub(cap), used: total as f64 / cap as f64, writes }
}

/// Requests a slice for spender `i` if it needs one; returns the number of writes to the store.
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
