//! Controller of the fleet of one pool in one region: demand forecast, endpoint mix, orders and
//! releases.
//!
//! [`step`] is a pure function over a [`State`]. Invariants:
//!
//! - an order or release is returned only while the last grant is valid, and not before its
//!   `first_order`;
//! - its intent is in the store before it is returned. The idempotency token derives from the pool
//!   and the intent, so a later lease holder sends the same token and the platform executes it
//!   once;
//! - endpoints ordered but not listed yet count as present, so the same need is not ordered twice;
//! - an endpoint is released only after its last request ended, and the last one of an
//!   availability zone stays;
//! - the hourly cost of all present and ordered endpoints never exceeds the budget.

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
    input::{Action, Endpoint, EndpointState, Input, Outcome},
    intent::{Intent, MAX_INTENTS, MAX_KNOWN, MAX_RECORD, Op, Record, RecordError, decode, encode},
    plan::{Inventory, Mix, Need, cheapest_mix, feasible_mix},
    settings::{Kind, Name, Prices, Settings, WorkKind},
    state::State,
    step::step,
};
