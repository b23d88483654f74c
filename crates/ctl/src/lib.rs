//! Controller of the roles of a piece of engines: demand forecast, split, orders, intent record.
//!
//! The engines of a pool are divided into pieces, and the holder of a piece's lease controls its
//! engines. [`step`] is a pure function over a [`Piece`]. Invariants:
//!
//! - an order is returned only while the last grant is valid, and not before its `first_order`;
//! - an engine has at most one order in flight. After an order of unknown result, the next one
//!   waits until that order has expired and the engine's state was read again;
//! - the phase that permits an order is in the store before the order is returned, so the next
//!   holder knows every engine that may have received one;
//! - the last serving engine of a role in an availability zone keeps its role;
//! - the fraction of engines that change their role at the same time is limited.

mod change;
mod forecast;
mod piece;
mod plan;
mod record;
mod settings;

pub use {
    agate_core::Grant,
    change::{Change, Phase},
    forecast::{Demand, Forecast},
    piece::{Action, Engine, EngineState, Input, Outcome, Piece, Role, Verb, step},
    plan::{Split, choose_split, served_share},
    record::{ChangeIntent, MAX_CHANGES, MAX_RECORD, RecordError, decode, encode},
    settings::Settings,
};
