//! Shapes of the demand on a pool, and what happens to its fleet.

use {agate_core::Mono, std::time::Duration};

/// Organisations, by weight: a few are large.
pub const WEIGHTS: [f64; 8] = [0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03];
/// Availability zones.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Tokens a second of one endpoint.
pub const RATE: f64 = 2_000.0;
/// Length of a scenario.
pub const LENGTH: Duration = Duration::from_secs(2 * 60 * 60);
/// Least and greatest time from an order to its endpoints.
pub const LAG: (u64, u64) = (120, 240);
/// Notice of a reclaim.
pub const NOTICE: Duration = Duration::from_secs(5);
/// Time within which deadline work is of use.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// Time within which long work is of use.
pub const LONG: Duration = Duration::from_secs(600);

/// Whose traffic it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Short questions beside dossiers that may wait; waves, and bursts of the largest organisation.
    Savikoda,
    /// Mostly deadline work; steps as groups of candidates come and go.
    Board,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name in tables.
    pub name: &'static str,
    /// Shape of the demand.
    pub user: User,
    /// Mean demand, in endpoints.
    pub scale: f64,
    /// Availability zones whose cheap endpoints are reclaimed, and when.
    pub reclaims: Vec<(Mono, usize)>,
    /// When no cheap endpoint can be ordered, from and to.
    pub drought: Option<(Mono, Mono)>,
    /// Most cost in an hour.
    pub budget: f64,
}

/// The scenarios of a user at one size.
pub fn scenarios(user: User, scale: f64) -> Vec<Scenario> {
    let at = |minutes: u64| Mono::from_secs(minutes * 60);
    let calm = Scenario {
        name: "calm",
        user,
        scale,
        reclaims: Vec::new(),
        drought: None,
        budget: f64::INFINITY,
    };
    let reclaims = vec![(at(35), 1), (at(62), 3), (at(95), 0)];
    vec![
        Scenario { name: "reclaims", reclaims: reclaims.clone(), ..calm.clone() },
        Scenario { name: "no cheap", drought: Some((at(30), at(60))), ..calm.clone() },
        Scenario { name: "both", reclaims, drought: Some((at(30), at(60))), ..calm.clone() },
        calm,
    ]
}

/// Deadline and long work asked of each organisation at `t`, in tokens a second.
pub fn demand(scenario: &Scenario, t: Mono) -> [[f64; 2]; WEIGHTS.len()] {
    let s = t.as_secs_f64();
    let wave = |minutes: f64| (s / (minutes * 60.0) * std::f64::consts::TAU).sin();
    let (level, share) = match scenario.user {
        // The ratio of prompts to answers swings within minutes, and with it the work of a request.
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
