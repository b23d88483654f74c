//! What the instances answered to the holder of a piece: the demand and what is open at engines.

use {
    super::talk::Said, agate_core::Mono, agate_ctl::Demand, agate_wire::Name, indexmap::IndexMap,
    std::time::Duration,
};

/// Time for which an instance that does not answer is waited for or counted.
pub const QUIET: Duration = Duration::from_secs(5);
/// Least time over which a rate is taken.
const SPAN: Duration = Duration::from_millis(500);

/// Answers of all instances.
#[derive(Debug, Default)]
pub struct Voices {
    heard: IndexMap<Name, Voice>,
}

#[derive(Debug, Default)]
struct Voice {
    /// When the question was sent whose answer this is.
    asked: Mono,
    /// Counts from which the next rate is taken, and when they were heard.
    base: Option<(Mono, Said)>,
    /// Prompt and output tokens a second.
    rate: Demand,
    /// Requests open at the engines that the question named.
    open: IndexMap<String, u32>,
}

impl Voices {
    /// Takes in an answer to a question sent at `asked` that named these drained engines.
    pub fn hear(&mut self, from: Name, drained: &[String], asked: Mono, said: Said, now: Mono) {
        let voice = self.heard.entry(from).or_default();
        if asked < voice.asked {
            return;
        }
        voice.asked = asked;
        voice.open = drained.iter().cloned().zip(said.open.iter().copied()).collect();
        let base = voice.base.take().filter(|(_, b)| b.start == said.start);
        let Some((at, base)) = base else {
            voice.base = Some((now, said));
            return;
        };
        let span = now.saturating_sub(at);
        if span < SPAN {
            voice.base = Some((at, base));
            return;
        }
        let rate = |new: u64, old: u64| new.saturating_sub(old) as f64 / span.as_secs_f64();
        let (prefill, decode) = (rate(said.prompt, base.prompt), rate(said.output, base.output));
        voice.rate = Demand { prefill, decode };
        voice.base = Some((now, said));
    }

    /// Work asked of the pool by the instances heard lately.
    pub fn demand(&self, now: Mono) -> Demand {
        let lately = self.heard.values().filter(|v| now < v.asked + QUIET);
        lately.fold(Demand::default(), |sum, v| Demand {
            prefill: sum.prefill + v.rate.prefill,
            decode: sum.decode + v.rate.decode,
        })
    }

    /// Requests open at an engine that was first seen drained at `since`.
    ///
    /// One that has not answered since counts as having one, until it was waited for long enough.
    pub fn open_at(&self, engine: &str, since: Mono, live: &[Name], now: Mono) -> u32 {
        let told = |name: &Name| {
            let voice = self.heard.get(name).filter(|v| v.asked >= since);
            voice.and_then(|v| v.open.get(engine).copied())
        };
        let missing = u32::from(now < since + QUIET);
        live.iter().map(|name| told(name).unwrap_or(missing)).sum()
    }
}
