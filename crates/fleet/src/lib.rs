//! Control of the fleet of one pool in one region: forecast, mix of kinds, orders, releases.
//!
//! [`step`] is a pure function over a [`State`]. Invariants:
//!
//! - an order or release is returned only within the authority last granted, and not before its
//!   `first_order`;
//! - its intention is in the store before it is returned, and its token derives from the pool and
//!   the intention, so a successor repeats the same token and the platform carries it out once;
//! - endpoints ordered but not listed yet count as present, so one need is never ordered twice;
//! - an endpoint is released only after its last request ended, and never the last one of an
//!   availability zone while there is work;
//! - what is present and ordered never costs more in an hour than the budget.

mod degrade;
mod input;
mod intent;
mod orders;
mod plan;
mod releases;
mod settings;
mod state;
mod step;

pub use {
    agate_core::Grant,
    degrade::{Work, shares},
    input::{Action, Endpoint, Input, Life, Outcome},
    intent::{
        Intent, MAX_INTENTS, MAX_KNOWN, MAX_RECORD, Record, RecordError, What, decode, encode,
    },
    plan::{Fit, Mix, Need, choose, fit},
    settings::{Kind, Name, Prices, Settings, WorkKind},
    state::State,
    step::step,
};
