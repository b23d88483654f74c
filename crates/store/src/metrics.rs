//! Call counters as the service charges calls.
//!
//! Every call counts once. A waiting watch also counts as one read per second, so the peak rates
//! here are comparable to the limits of the service.

use {
    crate::{Call, Purpose},
    std::time::Duration,
};

/// Kind of a call, as an index into the counters.
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

    /// Whether calls of this kind change the state of the service.
    pub fn is_write(self) -> bool {
        !matches!(self, Kind::Get | Kind::List | Kind::Range | Kind::Watch)
    }
}

/// Call counters by purpose and kind, with peak rates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    table: [[u64; KINDS]; Purpose::ALL.len()],
    /// Calls refused because a rate limit was exceeded.
    pub limited: u64,
    /// Watches that are waiting.
    pub waiting: u64,
    /// Maximum number of reads, including waiting watches, in one second of the clock.
    pub peak_reads: u64,
    /// Maximum number of writes in one second of the clock.
    pub peak_writes: u64,
    current_second: u64,
    second_reads: u64,
    second_writes: u64,
}

impl Counts {
    /// Number of calls of one purpose and kind.
    pub fn of(&self, purpose: Purpose, kind: Kind) -> u64 {
        self.table[purpose as usize][kind as usize]
    }

    /// Number of calls of one purpose.
    pub fn purpose(&self, purpose: Purpose) -> u64 {
        self.table[purpose as usize].iter().sum()
    }

    /// Number of calls that only read; each watch counts once.
    pub fn reads(&self) -> u64 {
        [Kind::Get, Kind::List, Kind::Range, Kind::Watch].iter().map(|k| self.kind(*k)).sum()
    }

    /// Number of calls that change the state of the service.
    pub fn writes(&self) -> u64 {
        [Kind::Swap, Kind::Grant, Kind::Renew, Kind::Revoke].iter().map(|k| self.kind(*k)).sum()
    }

    /// Number of calls of one kind for all purposes.
    pub fn kind(&self, kind: Kind) -> u64 {
        self.table.iter().map(|row| row[kind as usize]).sum()
    }

    /// Records one call at `now`.
    pub fn record(&mut self, purpose: Purpose, kind: Kind, now: Duration) {
        self.start_second(now);
        self.table[purpose as usize][kind as usize] += 1;
        let (rate, peak) = match kind.is_write() {
            true => (&mut self.second_writes, &mut self.peak_writes),
            false => (&mut self.second_reads, &mut self.peak_reads),
        };
        *rate += 1;
        *peak = (*peak).max(*rate);
    }

    /// Number of reads and writes in the second of `now`.
    pub fn rate(&mut self, now: Duration) -> (u64, u64) {
        self.start_second(now);
        (self.second_reads, self.second_writes)
    }

    fn start_second(&mut self, now: Duration) {
        if now.as_secs() == self.current_second {
            return;
        }
        self.current_second = now.as_secs();
        self.second_reads = self.waiting;
        self.second_writes = 0;
        self.peak_reads = self.peak_reads.max(self.second_reads);
    }
}
