//! Reports of the instances to the lease holder of a piece: the demand and the open requests at
//! draining engines.

use {
    super::updates::WorkReport, agate_core::Mono, agate_ctl::Demand, agate_wire::Name,
    indexmap::IndexMap, std::time::Duration,
};

/// Time after which an instance that does not respond is no longer counted or waited for.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(5);
/// Minimum interval over which a rate is computed.
const MIN_RATE_SPAN: Duration = Duration::from_millis(500);

/// Reports by instance.
#[derive(Debug, Default)]
pub struct ReportTable {
    instances: IndexMap<Name, InstanceWork>,
}

#[derive(Debug, Default)]
struct InstanceWork {
    /// Time of the poll that the latest report responds to.
    polled: Mono,
    /// Baseline of the next rate, and the time at which it was received.
    base: Option<(Mono, WorkReport)>,
    /// Rate of prompt and output tokens per second.
    rate: Demand,
    /// Open requests at the engines named in the poll.
    open: IndexMap<String, u32>,
}

impl ReportTable {
    /// Stores a report in response to a poll sent at `polled` that named the engines in `drained`; a
    /// report older than the stored one is ignored.
    pub fn record(
        &mut self,
        from: Name,
        drained: &[String],
        polled: Mono,
        report: WorkReport,
        now: Mono,
    ) {
        let work = self.instances.entry(from).or_default();
        if polled < work.polled {
            return;
        }
        work.polled = polled;
        work.open = drained.iter().cloned().zip(report.open.iter().copied()).collect();
        let base = work.base.take().filter(|(_, b)| b.start == report.start);
        let Some((at, base)) = base else {
            work.base = Some((now, report));
            return;
        };
        let span = now.saturating_sub(at);
        if span < MIN_RATE_SPAN {
            work.base = Some((at, base));
            return;
        }
        let rate = |new: u64, old: u64| new.saturating_sub(old) as f64 / span.as_secs_f64();
        let (prefill, decode) =
            (rate(report.prompt, base.prompt), rate(report.output, base.output));
        work.rate = Demand { prefill, decode };
        work.base = Some((now, report));
    }

    /// Total rate of work requested of the pool by instances that responded recently.
    pub fn demand(&self, now: Mono) -> Demand {
        let lately = self.instances.values().filter(|v| now < v.polled + SILENCE_LIMIT);
        lately.fold(Demand::default(), |sum, v| Demand {
            prefill: sum.prefill + v.rate.prefill,
            decode: sum.decode + v.rate.decode,
        })
    }

    /// Open requests at an engine that was first read as draining at `since`.
    ///
    /// An instance without a report since then counts as having one open request, until
    /// [`SILENCE_LIMIT`] has passed.
    pub fn open_at(&self, engine: &str, since: Mono, live: &[Name], now: Mono) -> u32 {
        let reported = |name: &Name| {
            let work = self.instances.get(name).filter(|v| v.polled >= since);
            work.and_then(|v| v.open.get(engine).copied())
        };
        let missing = u32::from(now < since + SILENCE_LIMIT);
        live.iter().map(|name| reported(name).unwrap_or(missing)).sum()
    }
}
