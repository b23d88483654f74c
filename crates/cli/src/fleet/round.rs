//! What the holder of a pool's lease asks the instances once a round.

use {
    super::serving::Serving,
    crate::mesh::{self, Mesh},
    agate_core::Mono,
    agate_flow::gate::Gate,
    futures_util::future::join_all,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Topic of the request between instances.
pub const TOPIC: &str = "fleet/round";
/// Time for which a request to drain holds, beyond the loss of some rounds.
const VALID: Duration = Duration::from_secs(6);
/// Longest wait for the instances' answers.
const ANSWER_LIMIT: Duration = Duration::from_millis(800);

/// Request to an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ask {
    /// The pool.
    pub pool: String,
    /// Endpoints that are to get no new work.
    pub drains: Vec<String>,
}

/// Answer of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Told {
    /// Cost of all work that it was asked for since its start: with a near deadline, and long.
    pub asked: [u64; 2],
    /// Endpoints among the drained ones that have requests of this instance.
    pub busy: Vec<String>,
}

/// Answers a request.
pub fn answer(gate: &Gate, serving: &Serving, ask: &Ask) -> Told {
    let busy = serving.drain(&ask.pool, &ask.drains, VALID);
    let snapshot = gate.current.load();
    let pool = snapshot.pools().find(|(_, p)| *p.name == *ask.pool);
    Told { asked: pool.map_or([0; 2], |(id, _)| gate.desk(id).asked()), busy }
}

/// Answers requests of other instances.
pub fn serve(gate: &Gate, serving: &Serving, topic: &str, bytes: &[u8]) -> Option<Vec<u8>> {
    if topic != TOPIC {
        return None;
    }
    Some(mesh::encode(&answer(gate, serving, &mesh::decode(bytes)?)))
}

/// Totals of the instances and how often endpoints were found idle.
#[derive(Default)]
pub struct Rounds {
    totals: IndexMap<Arc<str>, [u64; 2]>,
    last: Option<Mono>,
    quiet: IndexMap<String, u32>,
}

/// What a round found.
pub struct Found {
    /// Work asked for since the last round, in units of cost a second; none in the first round.
    pub rate: Option<[f64; 2]>,
    /// Drained endpoints without requests at any instance.
    pub idle: Vec<String>,
}

/// Rounds in a row that an endpoint must be without requests: a request that chose it before the
/// drain was known is counted by the second one.
const QUIET_ROUNDS: u32 = 2;

impl Rounds {
    /// Asks this instance and every live one.
    pub async fn ask(&mut self, mesh: &Mesh, own: Told, ask: &Ask, now: Mono) -> Found {
        let live = mesh.live();
        let names: Vec<_> = live.iter().map(|m| m.name.clone()).collect();
        let asked = names.iter().map(|name| async move {
            let told = timeout(ANSWER_LIMIT, mesh.ask::<Told>(name, TOPIC, ask)).await;
            (name.clone(), told.ok().flatten())
        });
        let mut answers = join_all(asked).await;
        answers.push(("".into(), Some(own)));
        let rate = self.rate(&answers, now);
        Found { rate, idle: self.idle(&answers, &ask.drains) }
    }

    fn rate(&mut self, answers: &[(Arc<str>, Option<Told>)], now: Mono) -> Option<[f64; 2]> {
        let passed = self.last.replace(now).map(|last| now.saturating_sub(last).as_secs_f64());
        let mut sum = [0; 2];
        for (name, told) in answers.iter().filter_map(|(n, t)| Some((n, t.as_ref()?))) {
            // What an instance was asked for before it was met belongs to no round.
            let old = self.totals.insert(name.clone(), told.asked).unwrap_or(told.asked);
            for (i, sum) in sum.iter_mut().enumerate() {
                // A total that fell is that of a new start.
                *sum += told.asked[i].checked_sub(old[i]).unwrap_or(told.asked[i]);
            }
        }
        self.totals.retain(|n, _| answers.iter().any(|(name, _)| name == n));
        let passed = passed.filter(|p| *p > 0.0)?;
        Some(sum.map(|s| s as f64 / passed))
    }

    fn idle(&mut self, answers: &[(Arc<str>, Option<Told>)], drains: &[String]) -> Vec<String> {
        let all = answers.iter().all(|(_, told)| told.is_some());
        let told = answers.iter().filter_map(|(_, told)| told.as_ref());
        let busy: IndexSet<&String> = told.flat_map(|t| &t.busy).collect();
        self.quiet.retain(|name, _| drains.contains(name));
        for name in drains {
            let rounds = self.quiet.entry(name.clone()).or_default();
            *rounds = if all && !busy.contains(name) { *rounds + 1 } else { 0 };
        }
        let idle = self.quiet.iter().filter(|(_, rounds)| **rounds >= QUIET_ROUNDS);
        idle.map(|(name, _)| name.clone()).collect()
    }
}
