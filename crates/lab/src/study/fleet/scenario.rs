//! Scenarios: demand on a pool, reclaims and shortages of endpoints.

use {agate_core::Mono, std::time::Duration};

/// Fraction of the demand of each organisation.
pub const WEIGHTS: [f64; 8] = [0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03];
/// Names of the availability zones.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Capacity of one endpoint, in tokens per second.
pub const RATE: f64 = 2_000.0;
/// Duration of a scenario.
pub const RUN_TIME: Duration = Duration::from_secs(2 * 60 * 60);
/// Minimum and maximum time from an order until its endpoints serve, in seconds.
pub const LAG: (u64, u64) = (120, 240);
/// Time from the notice of a reclaim to the removal of the endpoints.
pub const RECLAIM_NOTICE: Duration = Duration::from_secs(5);
/// Deadline of deadline work, from its arrival.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// Deadline of long work, from its arrival.
pub const LONG: Duration = Duration::from_secs(600);

/// User whose traffic is modelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Short questions and dossiers that may wait; the demand varies in waves, and the largest
    /// organisation has bursts.
    Savikoda,
    /// Mostly deadline work; the demand changes in steps, as groups of candidates start and finish.
    Board,
}

/// Demand and events of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the scenario in tables.
    pub name: &'static str,
    /// User whose demand is modelled.
    pub user: User,
    /// Mean demand, in endpoints.
    pub scale: f64,
    /// Times of reclaims, each with the index of the zone that loses its cheap endpoints.
    pub reclaims: Vec<(Mono, usize)>,
    /// Start and end of the time in which no cheap endpoints are available.
    pub shortage: Option<(Mono, Mono)>,
    /// Maximum cost per hour.
    pub budget: f64,
}

/// Scenarios of a user; `scale` is the mean demand, in endpoints.
pub fn scenarios(user: User, scale: f64) -> Vec<Scenario> {
    let at = |minutes: u64| Mono::from_secs(minutes * 60);
    let steady = Scenario {
        name: "calm",
        user,
        scale,
        reclaims: Vec::new(),
        shortage: None,
        budget: f64::INFINITY,
    };
    let reclaims = vec![(at(35), 1), (at(62), 3), (at(95), 0)];
    vec![
        Scenario { name: "reclaims", reclaims: reclaims.clone(), ..steady.clone() },
        Scenario { name: "no cheap", shortage: Some((at(30), at(60))), ..steady.clone() },
        Scenario { name: "both", reclaims, shortage: Some((at(30), at(60))), ..steady.clone() },
        steady,
    ]
}

/// Deadline and long work of each organisation at `t`, in tokens per second.
pub fn demand(scenario: &Scenario, t: Mono) -> [[f64; 2]; WEIGHTS.len()] {
    let s = t.as_secs_f64();
    let wave = |minutes: f64| (s / (minutes * 60.0) * std::f64::consts::TAU).sin();
    let (level, share) = match scenario.user {
        // The ratio of prompt to response tokens varies within minutes, and the work of a request
        // with it.
        User::Savikoda => (1.0 + 0.2 * wave(40.0) + 0.08 * wave(6.0), 0.55 + 0.1 * wave(7.0)),
        User::Board => (1.0 + 0.25 * steps(s, 900.0) + 0.08 * wave(5.0), 0.75 + 0.08 * wave(6.0)),
    };
    let burst = match scenario.user {
        User::Savikoda => 0.5 * ((steps(s, 1_800.0) + 1.0) / 2.0),
        User::Board => 0.0,
    };
    let total = scenario.scale * RATE;
    std::array::from_fn(|org| {
        let level = if org == 0 { level + burst } else { level };
        let work = total * WEIGHTS[org] * level;
        [work * share, work * (1.0 - share)]
    })
}

/// Alternates between -1 and 1 every `period` seconds, with ramps of two minutes.
fn steps(s: f64, period: f64) -> f64 {
    const RAMP: f64 = 120.0;
    let phase = s % (2.0 * period);
    let rise = |from: f64| ((phase - from) / RAMP).clamp(0.0, 1.0);
    -1.0 + 2.0 * rise(period) - 2.0 * rise(2.0 * period - RAMP)
}
