//! Sums of the use of organisations' quotas over the instances that poll a coordinator. Pure state: no
//! I/O, and the caller passes the time.

use {
    crate::{
        QUOTA_WINDOWS, QuotaKey,
        coordinator::{MAX_CONTACT_AGE, MAX_REPORT_AGE},
        message::{QuotaReport, QuotaRow, QuotaTotals},
    },
    agate_core::Mono,
    indexmap::IndexMap,
    std::{cmp::Reverse, time::Duration},
};

/// Rows in one message. With values of seven bytes each they fit into a datagram.
pub const CHUNK_ROWS: usize = 16;
/// Time between two removals of old reports.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Largest value of a row that is summed up; the sum of a fleet's rows stays below 64 bits.
const MAX_VALUE: u64 = 1 << 50;

/// Use of organisations' quotas at one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuotaUse {
    /// Parts of the windows for which the instance has run, in thousandths.
    pub members: [u32; QUOTA_WINDOWS],
    /// Rows of organisations.
    pub rows: Vec<QuotaRow>,
}

#[derive(Clone, Debug, Default)]
struct InstanceUse {
    round: u64,
    received: Mono,
    members: [u32; QUOTA_WINDOWS],
    /// Rows with the time at which each was received.
    rows: IndexMap<QuotaKey, (QuotaRow, Mono)>,
}

/// Quota use of the instances that poll this coordinator.
///
/// Sums are updated with each row, so the cost of a response depends on its rows and on the number of
/// instances, not on the product of both.
#[derive(Clone, Debug, Default)]
pub struct QuotaSums {
    reports: IndexMap<String, InstanceUse>,
    sums: IndexMap<QuotaKey, QuotaRow>,
    /// Most weight of instances no longer heard that one instance knows.
    missing: IndexMap<QuotaKey, [u64; QUOTA_WINDOWS]>,
    /// Organisations with the most weight requested.
    busiest: Vec<QuotaKey>,
    swept: Mono,
}

impl QuotaSums {
    /// Stores the rows of a report, unless it is older than another of its sender.
    pub fn on_report(&mut self, report: &QuotaReport, now: Mono) {
        self.sweep(now);
        let Self { reports, sums, .. } = self;
        let known = reports.entry(report.from.clone()).or_default();
        if report.round < known.round {
            return;
        }
        (known.round, known.received, known.members) = (report.round, now, report.members);
        for row in &report.rows {
            let row = limited(row);
            add(sums, &row);
            if let Some((before, _)) = known.rows.insert(row.key, (row, now)) {
                remove(sums, &before);
            }
        }
    }

    /// Sums over all instances but `except`, for the organisations `keys` and, as far as `limit` rows
    /// allow, for those with the most weight requested.
    pub fn totals(&self, except: &str, keys: &[QuotaKey], limit: usize, now: Mono) -> QuotaTotals {
        let mut out = QuotaTotals::default();
        let others = self.reports.iter().filter(|(from, _)| *from != except);
        for (_, report) in others.filter(|(_, r)| now.saturating_sub(r.received) < MAX_REPORT_AGE) {
            out.instances += 1;
            if now.saturating_sub(report.received) < MAX_CONTACT_AGE {
                let parts = out.members.iter_mut().zip(report.members);
                parts.for_each(|(sum, part)| *sum = sum.saturating_add(part));
            }
        }
        let room = limit.saturating_sub(keys.len());
        let further = self.busiest.iter().filter(|key| !keys.contains(key)).take(room);
        let own = self.reports.get(except);
        let row = |key: QuotaKey| {
            let mut sum = self.sums.get(&key).copied().unwrap_or_default();
            sum.key = key;
            sum.missing = self.missing.get(&key).copied();
            if let Some((row, _)) = own.and_then(|report| report.rows.get(&key)) {
                subtract(&mut sum, row);
            }
            sum
        };
        out.rows = keys.iter().chain(further).map(|key| row(*key)).collect();
        out
    }

    /// Organisations with rows.
    pub fn keys(&self) -> Vec<QuotaKey> {
        self.sums.keys().copied().collect()
    }

    /// Number of organisations with rows.
    pub fn len(&self) -> usize {
        self.sums.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// Removes old rows and reports, and finds the busiest organisations.
    fn sweep(&mut self, now: Mono) {
        if now.saturating_sub(self.swept) < SWEEP_INTERVAL {
            return;
        }
        self.swept = now;
        let Self { reports, sums, missing, busiest, .. } = self;
        missing.clear();
        reports.retain(|_, report| {
            report.rows.retain(|_, (row, at)| {
                let fresh = now.saturating_sub(*at) < MAX_REPORT_AGE;
                if !fresh {
                    remove(sums, row);
                } else if let Some(known) = row.missing {
                    let most = missing.entry(row.key).or_insert(known);
                    most.iter_mut().zip(known).for_each(|(most, own)| *most = own.max(*most));
                }
                fresh
            });
            now.saturating_sub(report.received) < MAX_REPORT_AGE
        });
        let mut asked: Vec<(Reverse<u64>, QuotaKey)> =
            sums.values().map(|row| (Reverse(row.asked), row.key)).collect();
        if asked.len() > CHUNK_ROWS {
            asked.select_nth_unstable(CHUNK_ROWS);
            asked.truncate(CHUNK_ROWS);
        }
        asked.sort_unstable();
        *busiest = asked.into_iter().map(|(_, key)| key).collect();
    }
}

fn limited(row: &QuotaRow) -> QuotaRow {
    let QuotaRow { key, sums, asked, missing } = *row;
    let sums = sums.map(|sum| sum.min(MAX_VALUE));
    QuotaRow { key, sums, asked: asked.min(MAX_VALUE), missing }
}

fn add(sums: &mut IndexMap<QuotaKey, QuotaRow>, row: &QuotaRow) {
    let sum = sums.entry(row.key).or_insert(QuotaRow { key: row.key, ..QuotaRow::default() });
    sum.sums.iter_mut().zip(row.sums).for_each(|(sum, own)| *sum += own);
    sum.asked += row.asked;
}

fn remove(sums: &mut IndexMap<QuotaKey, QuotaRow>, row: &QuotaRow) {
    if let Some(sum) = sums.get_mut(&row.key) {
        subtract(sum, row);
        if sum.sums == [0; QUOTA_WINDOWS] && sum.asked == 0 {
            sums.swap_remove(&row.key);
        }
    }
}

fn subtract(sum: &mut QuotaRow, row: &QuotaRow) {
    sum.sums.iter_mut().zip(row.sums).for_each(|(sum, own)| *sum = sum.saturating_sub(own));
    sum.asked = sum.asked.saturating_sub(row.asked);
}
