//! Requests that the lease holder of a pool sends to the instances once per round.

use {
    super::served_config::ServedConfig,
    crate::mesh::{self, Mesh},
    agate_core::Mono,
    agate_flow::proxy_state::ProxyState,
    futures_util::future::join_all,
    indexmap::{IndexMap, IndexSet},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Topic of the requests.
pub const TOPIC: &str = "fleet/round";
/// Time for which a drain stays in force; longer than a few lost rounds.
const DRAIN_VALIDITY: Duration = Duration::from_secs(6);
/// Timeout of a request to one instance.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Request of a lease holder to an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RoundRequest {
    /// Name of the pool.
    pub pool: String,
    /// Endpoints that must not get new requests.
    pub drains: Vec<String>,
}

/// Response of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RoundReport {
    /// Total cost of the work requested since the instance started: work with a near deadline, and
    /// long work.
    pub asked: [u64; 2],
    /// Draining endpoints with open requests from this instance.
    pub busy: Vec<String>,
}

/// Applies a request and returns the response.
pub fn handle(
    proxy_state: &ProxyState,
    served: &ServedConfig,
    request: &RoundRequest,
) -> RoundReport {
    let busy = served.drain(&request.pool, &request.drains, DRAIN_VALIDITY);
    let snapshot = proxy_state.current.load();
    let pool = snapshot.pools().find(|(_, p)| *p.name == *request.pool);
    RoundReport {
        asked: pool.map_or([0; 2], |(id, _)| proxy_state.admission(id).requested_cost()),
        busy,
    }
}

/// Handles requests of other instances; `None` for another topic or malformed content.
pub fn serve(
    proxy_state: &ProxyState,
    served: &ServedConfig,
    topic: &str,
    bytes: &[u8],
) -> Option<Vec<u8>> {
    if topic != TOPIC {
        return None;
    }
    Some(mesh::encode(&handle(proxy_state, served, &mesh::decode(bytes)?)))
}

/// State kept between rounds: the instances' totals and the number of rounds for which endpoints
/// were idle.
#[derive(Default)]
pub struct RoundState {
    totals: IndexMap<Arc<str>, [u64; 2]>,
    last_round: Option<Mono>,
    idle_rounds: IndexMap<String, u32>,
}

/// Result of a round.
pub struct RoundResult {
    /// Requested cost per second since the last round; `None` in the first round.
    pub rate: Option<[f64; 2]>,
    /// Draining endpoints without open requests at any instance.
    pub idle: Vec<String>,
}

/// Consecutive rounds that an endpoint must be without requests. A request that chose the endpoint
/// before the drain was known is counted in the second round.
const MIN_IDLE_ROUNDS: u32 = 2;

impl RoundState {
    /// Runs one round with every live instance; `own` is this instance's response.
    pub async fn poll(
        &mut self,
        mesh: &Mesh,
        own: RoundReport,
        request: &RoundRequest,
        now: Mono,
    ) -> RoundResult {
        let live = mesh.live();
        let names: Vec<_> = live.iter().map(|m| m.name.clone()).collect();
        let asked = names.iter().map(|name| async move {
            let report =
                timeout(RESPONSE_TIMEOUT, mesh.ask::<RoundReport>(name, TOPIC, request)).await;
            (name.clone(), report.ok().flatten())
        });
        let mut responses = join_all(asked).await;
        responses.push(("".into(), Some(own)));
        let rate = self.rate(&responses, now);
        RoundResult { rate, idle: self.idle(&responses, &request.drains) }
    }

    fn rate(
        &mut self,
        responses: &[(Arc<str>, Option<RoundReport>)],
        now: Mono,
    ) -> Option<[f64; 2]> {
        let passed =
            self.last_round.replace(now).map(|last| now.saturating_sub(last).as_secs_f64());
        let mut sum = [0; 2];
        for (name, report) in responses.iter().filter_map(|(n, t)| Some((n, t.as_ref()?))) {
            // The total of an instance seen for the first time belongs to no round.
            let old = self.totals.insert(name.clone(), report.asked).unwrap_or(report.asked);
            for (i, sum) in sum.iter_mut().enumerate() {
                // A total that decreased comes from a restarted instance.
                *sum += report.asked[i].checked_sub(old[i]).unwrap_or(report.asked[i]);
            }
        }
        self.totals.retain(|n, _| responses.iter().any(|(name, _)| name == n));
        let passed = passed.filter(|p| *p > 0.0)?;
        Some(sum.map(|s| s as f64 / passed))
    }

    fn idle(
        &mut self,
        responses: &[(Arc<str>, Option<RoundReport>)],
        drains: &[String],
    ) -> Vec<String> {
        let all = responses.iter().all(|(_, report)| report.is_some());
        let reports = responses.iter().filter_map(|(_, report)| report.as_ref());
        let busy: IndexSet<&String> = reports.flat_map(|t| &t.busy).collect();
        self.idle_rounds.retain(|name, _| drains.contains(name));
        for name in drains {
            let rounds = self.idle_rounds.entry(name.clone()).or_default();
            *rounds = if all && !busy.contains(name) { *rounds + 1 } else { 0 };
        }
        let idle = self.idle_rounds.iter().filter(|(_, rounds)| **rounds >= MIN_IDLE_ROUNDS);
        idle.map(|(name, _)| name.clone()).collect()
    }
}
