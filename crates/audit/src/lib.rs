//! Checks a history of a run against what must always hold.
//!
//! A [`History`] is plain data: what callers sent and got, what endpoints ran, what engines and the
//! platform were ordered, which faults struck. [`check`] looks at every line below and returns each
//! violation with its evidence. This crate depends on none of the crates that it checks.
//!
//! | line | what must hold |
//! | --- | --- |
//! | [`Line::Orders`] | an engine never gets an order while a different one is under way |
//! | [`Line::Changes`] | no planned change but a stop cuts a request |
//! | [`Line::Authority`] | no order has an effect on an engine after a newer holder began to order |
//! | [`Line::Owner`] | but for open routes, a request runs only for the organisation of its key |
//! | [`Line::Secrecy`] | no endpoint sees a key |
//! | [`Line::Withdrawal`] | nothing starts with a withdrawn key after the bound |
//! | [`Line::Fleet`] | the fleet gets orders from one process in charge at a time |
//! | [`Line::Usage`] | no window is reported with other figures, and one process holds each shard |
//! | [`Line::Answers`] | each caller gets the whole answer to its own request, and fails only by a fault |
//! | [`Line::Unrun`] | a request whose reply says "not run" did not run |
//! | [`Line::Bookings`] | a booking runs at most once |
//! | [`Line::Leaving`] | a leaving endpoint gets no new work after the bound |
//! | [`Line::Stops`] | a planned stop ends by itself and cuts no request |
//! | [`Line::Settled`] | an accepted generation is in force everywhere in time and never reverts |
//!
//! A call may fail by a fault only if the fault struck its instance or an endpoint that ran it
//! while the call or an earlier sending of the same booking was under way. Faults of the store
//! count for bookings alone, since nothing else may wait for it.

mod access;
mod bookings;
mod control;
mod cuts;
mod settled;

pub mod history;
pub mod repeats;

pub use history::History;

/// A line of what must always hold; see the table of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Line {
    /// One order at a time for each engine.
    Orders,
    /// Planned changes cut nothing.
    Changes,
    /// Old orders have no effect.
    Authority,
    /// Requests run for the organisation of their key.
    Owner,
    /// Endpoints see no key.
    Secrecy,
    /// Withdrawn keys stop working.
    Withdrawal,
    /// One process in charge of the fleet.
    Fleet,
    /// Each window has one report.
    Usage,
    /// Answers are whole and the caller's own.
    Answers,
    /// "Not run" is true.
    Unrun,
    /// Bookings run at most once.
    Bookings,
    /// Leaving endpoints get no new work.
    Leaving,
    /// Stops are graceful.
    Stops,
    /// Accepted configurations are in force and stay.
    Settled,
}

impl Line {
    /// Every line.
    pub const ALL: [Line; 14] = [
        Line::Orders,
        Line::Changes,
        Line::Authority,
        Line::Owner,
        Line::Secrecy,
        Line::Withdrawal,
        Line::Fleet,
        Line::Usage,
        Line::Answers,
        Line::Unrun,
        Line::Bookings,
        Line::Leaving,
        Line::Stops,
        Line::Settled,
    ];

    /// Evidence of each violation of this line.
    fn evidence(self, history: &History) -> Vec<String> {
        match self {
            Line::Orders => control::crossed_orders(history),
            Line::Changes => cuts::by_changes(history),
            Line::Authority => control::old_orders(history),
            Line::Owner => access::other_owners(history),
            Line::Secrecy => access::seen_keys(history),
            Line::Withdrawal => access::withdrawn_keys(history),
            Line::Fleet => control::fleet_holders(history),
            Line::Usage => control::usage_reports(history),
            Line::Answers => cuts::answers(history),
            Line::Unrun => bookings::false_refusals(history),
            Line::Bookings => bookings::repeated_runs(history),
            Line::Leaving => settled::late_starts(history),
            Line::Stops => cuts::by_stops(history),
            Line::Settled => settled::generations(history),
        }
    }
}

/// Something that must not have happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Line that was violated.
    pub line: Line,
    /// What shows it: the calls, runs or orders with their times.
    pub evidence: String,
}

/// Returns every violation in `history`.
pub fn check(history: &History) -> Vec<Violation> {
    let of = |line: Line| {
        let all = line.evidence(history).into_iter();
        all.map(move |evidence| Violation { line, evidence })
    };
    Line::ALL.into_iter().flat_map(of).collect()
}
