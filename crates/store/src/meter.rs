//! Counts of calls as the service charges them.
//!
//! Every call counts once. A waiting watch counts as one read in each second that it waits, so the
//! peak rates here are those that the service's limits are stated in.

use {
    crate::{Call, Purpose},
    std::time::Duration,
};

/// Kind of a call, as an index into the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Read of one key.
    Get,
    /// List of keys.
    List,
    /// Read of the records under a prefix.
    Range,
    /// Compare-and-swap.
    Swap,
    /// Watch of one key.
    Watch,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    Renew,
    /// Revocation of a lease.
    Revoke,
}

const KINDS: usize = 8;

impl Kind {
    /// Kind of `call`.
    pub fn of(call: &Call) -> Self {
        match call {
            Call::Get { .. } => Kind::Get,
            Call::List { .. } => Kind::List,
            Call::Range { .. } => Kind::Range,
            Call::Swap { .. } => Kind::Swap,
            Call::Watch { .. } => Kind::Watch,
            Call::Grant { .. } => Kind::Grant,
            Call::Renew { .. } => Kind::Renew,
            Call::Revoke { .. } => Kind::Revoke,
        }
    }

    /// Name of the kind in errors and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Kind::Get => "get",
            Kind::List => "list",
            Kind::Range => "range",
            Kind::Swap => "swap",
            Kind::Watch => "watch",
            Kind::Grant => "grant",
            Kind::Renew => "renew",
            Kind::Revoke => "revoke",
        }
    }

    /// Whether calls of this kind change the service's state.
    pub fn is_write(self) -> bool {
        !matches!(self, Kind::Get | Kind::List | Kind::Range | Kind::Watch)
    }
}

/// Calls so far, by purpose and kind, with the peak rates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    table: [[u64; KINDS]; Purpose::ALL.len()],
    /// Calls refused because the rate limit was exceeded.
    pub limited: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Greatest number of reads, waiting watches included, in one second of the clock.
    pub peak_reads: u64,
    /// Greatest number of writes in one second of the clock.
    pub peak_writes: u64,
    second: u64,
    reads: u64,
    writes: u64,
}

impl Counts {
    /// Calls of one purpose and kind.
    pub fn of(&self, purpose: Purpose, kind: Kind) -> u64 {
        self.table[purpose as usize][kind as usize]
    }

    /// All calls of one purpose.
    pub fn purpose(&self, purpose: Purpose) -> u64 {
        self.table[purpose as usize].iter().sum()
    }

    /// All calls that only read, each watch once.
    pub fn reads(&self) -> u64 {
        [Kind::Get, Kind::List, Kind::Range, Kind::Watch].iter().map(|k| self.kind(*k)).sum()
    }

    /// All calls that change the service's state.
    pub fn writes(&self) -> u64 {
        [Kind::Swap, Kind::Grant, Kind::Renew, Kind::Revoke].iter().map(|k| self.kind(*k)).sum()
    }

    /// Calls of one kind, whatever their purpose.
    pub fn kind(&self, kind: Kind) -> u64 {
        self.table.iter().map(|row| row[kind as usize]).sum()
    }

    /// Records one call at `now`.
    pub fn record(&mut self, purpose: Purpose, kind: Kind, now: Duration) {
        self.roll(now);
        self.table[purpose as usize][kind as usize] += 1;
        let (rate, peak) = match kind.is_write() {
            true => (&mut self.writes, &mut self.peak_writes),
            false => (&mut self.reads, &mut self.peak_reads),
        };
        *rate += 1;
        *peak = (*peak).max(*rate);
    }

    /// Reads and writes in the second of `now`.
    pub fn rate(&mut self, now: Duration) -> (u64, u64) {
        self.roll(now);
        (self.reads, self.writes)
    }

    fn roll(&mut self, now: Duration) {
        if now.as_secs() == self.second {
            return;
        }
        self.second = now.as_secs();
        self.reads = self.waiting;
        self.writes = 0;
        self.peak_reads = self.peak_reads.max(self.reads);
    }
}
