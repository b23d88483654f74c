//! Settings file of an instance on the operators' platform.

use {
    crate::{caller_limits, settings::InvalidSettings},
    agate_adapter::terms,
    agate_relay::org_quota,
    agate_transport::memory_budget::MemoryLimits,
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Time between two checks of the file, which may change without a signal.
pub const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Address for client requests.
    pub listen: SocketAddr,
    /// Address of the readiness check and the metrics.
    pub monitor: SocketAddr,
    /// Address for messages between instances.
    pub peers: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the service that takes orders for endpoints and usage reports.
    pub orders: SocketAddr,
    /// Share of a processor core that the instance may use, above zero; instances with larger
    /// shares are preferred as coordinators.
    #[serde(default = "whole_core")]
    pub processor: f64,
    /// Memory that the instance may use, in MB.
    #[serde(default = "usual_memory")]
    pub memory: u32,
    /// Most descriptors that the process may open; `None` for the limit of the process.
    #[serde(default)]
    pub descriptors: Option<u32>,
    /// API keys.
    pub keys: Keys,
    /// Budget of retries of the whole fleet.
    pub retries: Retries,
    /// Quotas of organisations.
    #[serde(default)]
    pub quotas: Quotas,
    /// Second attempts of slow requests; none if absent.
    #[serde(default)]
    pub hedge: Option<Hedge>,
    /// Graceful stop.
    pub stop: Stop,
    /// Usage windows.
    pub usage: Usage,
    /// Engine capacity under load that competes for it.
    #[serde(default)]
    pub capacity: Capacity,
    /// Orders for endpoints.
    #[serde(default)]
    pub scaling: Scaling,
    /// Shares in overloaded services.
    #[serde(default)]
    pub shares: Shares,
    /// Terms of the platform that are in force, separated by commas. Some of them switch on optional
    /// settings, see [`Settings::with_terms`].
    #[serde(default)]
    pub terms: String,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

fn whole_core() -> f64 {
    1.0
}

fn usual_memory() -> u32 {
    256
}

/// Share of the memory for incomplete responses, as a divisor. It leaves room for the read buffers of
/// connections and for what the instance holds otherwise.
const BUFFER_DIVISOR: usize = 8;

impl Settings {
    /// Switches on what the platform's terms call for.
    pub fn with_terms(mut self) -> Self {
        if terms::competing_load(&self.terms) {
            self.capacity.measured = true;
            self.capacity.evacuate = true;
        }
        self
    }

    /// Limits on what callers hold together.
    pub fn caller_limits(&self) -> MemoryLimits {
        caller_limits::limits(Some(self.memory), self.descriptors)
    }

    /// Limit on incomplete responses of endpoints, in bytes.
    pub fn buffer_limit(&self) -> usize {
        (self.memory as usize * 1_000_000) / BUFFER_DIVISOR
    }

    /// Share of a processor core in percent, 1 to 10000.
    pub fn weight(&self) -> u16 {
        (self.processor * 100.0).round().clamp(1.0, 10_000.0) as u16
    }
}

/// API keys of clients.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Time within which a revoked key must stop working.
    #[serde(with = "humantime_serde")]
    pub age: Duration,
}

/// Budget of retries of the whole fleet, for each service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Maximum ratio of retries to requests, 0 to 1.
    pub ratio: f64,
    /// Window in which retries and requests are counted.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
}

/// How exactly quotas of organisations are held. The quotas are part of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Quotas {
    /// Window in which a quota is held.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Fraction of a quota by which all instances together may exceed it, 0 and more.
    pub overage: f64,
    /// Tokens by which they may exceed it in addition.
    pub slack: f64,
}

impl Quotas {
    /// The settings as the request path takes them.
    pub fn tolerance(&self) -> org_quota::Settings {
        let Self { window, overage, slack } = *self;
        org_quota::Settings { window, overage, slack }
    }
}

impl Default for Quotas {
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overage: 0.0, slack: 0.0 }
    }
}

/// Second attempts of slow requests, of the whole fleet and for each service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hedge {
    /// Maximum ratio of second attempts to requests, above 0 and at most 1.
    pub ratio: f64,
}

/// Graceful stop.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Time from SIGTERM to the end of the process, at least one second.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

/// Usage windows.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Length of a usage window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Time from the end of a window within which it must be reported.
    #[serde(with = "humantime_serde")]
    pub late: Duration,
}

/// Engine capacity under load that competes for it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Capacity {
    /// Whether engines are divided by measured slot use; without it, by estimates alone.
    pub measured: bool,
    /// Whether streams are moved off engines that leave.
    pub evacuate: bool,
}

/// Orders for endpoints.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scaling {
    /// Whether endpoints are ordered by demand while this instance leads; otherwise as many spot
    /// endpoints as a zone may have.
    pub follow_demand: bool,
}

/// Shares in overloaded services.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Shares {
    /// Whether an overloaded service's engines are divided between organisations and ranks.
    pub organisations: bool,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Filter in the syntax of `flexi_logger`, such as `info` or `info, agate_relay=debug`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".into() }
    }
}

/// Reads and validates a settings file.
///
/// Errors: the file cannot be read or parsed, or is invalid; the error lists every problem with its
/// location and the accepted values.
pub fn open(file: &Path) -> Result<Settings, InvalidSettings> {
    let fail = |problems| InvalidSettings::new(file, problems);
    let text = fs::read_to_string(file).map_err(|e| fail(vec![e.to_string()]))?;
    let settings: Settings =
        serde_saphyr::from_str(&text).map_err(|e| fail(vec![e.to_string()]))?;
    let settings = settings.with_terms();
    let problems = check(&settings);
    if problems.is_empty() { Ok(settings) } else { Err(fail(problems)) }
}

/// Shortest window of quotas: longer than the age at which reports of other instances no longer count.
const MIN_QUOTA_WINDOW: Duration = Duration::from_secs(2);

fn is_amount(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// Validates parsed settings and returns all problems.
pub fn check(settings: &Settings) -> Vec<String> {
    let Settings { name, zone, processor, memory, keys, retries, quotas, .. } = settings;
    let Settings { hedge, stop, usage, log, .. } = settings;
    let hedge_valid = hedge.as_ref().is_none_or(|h| h.ratio > 0.0 && h.ratio <= 1.0);
    let rules: [(bool, &str); 16] = [
        (settings.descriptors == Some(0), "descriptors: accepted are 1 and more"),
        (*processor <= 0.0, "processor: accepted are shares above zero"),
        (*memory < 32, "memory: accepted are 32 MB and more"),
        (name.is_empty(), "name: must not be empty"),
        (zone.is_empty(), "zone: must not be empty"),
        (keys.age.is_zero(), "keys.age: accepted are durations above zero"),
        (!(0.0..=1.0).contains(&retries.ratio), "retries.ratio: accepted are 0 to 1"),
        (retries.slack < 0.0, "retries.slack: accepted are 0 and more"),
        (retries.window.is_zero(), "retries.window: accepted are durations above zero"),
        (quotas.window < MIN_QUOTA_WINDOW, "quotas.window: accepted are two seconds and more"),
        (!is_amount(quotas.overage), "quotas.overage: accepted are 0 and more"),
        (!is_amount(quotas.slack), "quotas.slack: accepted are 0 and more"),
        (!hedge_valid, "hedge.ratio: accepted are numbers above 0 and up to 1"),
        (stop.limit < Duration::from_secs(1), "stop.limit: accepted are one second and more"),
        (usage.window.is_zero(), "usage.window: accepted are durations above zero"),
        (usage.late.is_zero(), "usage.late: accepted are durations above zero"),
    ];
    let mut out: Vec<String> =
        rules.iter().filter(|(broken, _)| *broken).map(|(_, text)| (*text).to_owned()).collect();
    if let Err(e) = flexi_logger::LogSpecification::parse(&log.level) {
        out.push(format!("log.level: {e}"));
    }
    out
}
