//! Settings file of an instance.
//!
//! The whole file is read and every problem is reported before any address is bound.
//! [`crate::reload`] applies a changed file to a running instance.

use {
    crate::caller_limits,
    agate_flow::{
        proxy_state::Limits,
        tls::{self, Files},
    },
    agate_route::retry::MAX_ATTEMPTS,
    agate_transport::memory_budget::MemoryLimits,
    serde::Deserialize,
    std::{
        fmt, fs,
        net::SocketAddr,
        ops::RangeInclusive,
        os::unix::fs::PermissionsExt,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Settings of one instance, as written in its YAML file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Region that the availability zone belongs to.
    pub region: String,
    /// Address for client requests.
    pub listen: SocketAddr,
    /// Address for operators: metrics, health, status and decisions.
    pub operator: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// TLS for client connections; without it they are unencrypted.
    #[serde(default)]
    pub tls: Option<Tls>,
    /// Communication with other instances; without it the instance runs alone.
    #[serde(default)]
    pub peers: Option<Peers>,
    /// Memory that the instance may use, in MB; `None` for no limit on what it holds for callers.
    #[serde(default)]
    pub memory: Option<u32>,
    /// Most descriptors that the process may open; `None` for the limit of the process.
    #[serde(default)]
    pub descriptors: Option<u32>,
    /// Limits on requests.
    #[serde(default)]
    pub limits: RequestLimits,
    /// Graceful shutdown.
    #[serde(default)]
    pub stop: Stop,
    /// Usage windows.
    #[serde(default)]
    pub usage: Usage,
    /// Logging.
    #[serde(default)]
    pub log: Log,
}

/// Share of the memory for responses, as a divisor.
const RESPONSE_DIVISOR: usize = 4;

impl Settings {
    /// Limits on what callers hold together.
    pub fn caller_limits(&self) -> MemoryLimits {
        caller_limits::limits(self.memory, self.descriptors)
    }

    /// Limit on responses of endpoints that are held, in bytes.
    pub fn buffer_limit(&self) -> usize {
        self.memory.map_or(usize::MAX, |m| m as usize * 1_000_000 / RESPONSE_DIVISOR)
    }

    /// Resolves relative file paths against `directory`.
    fn resolve(&mut self, directory: &Path) {
        let secrets = self.peers.iter_mut().flat_map(|p| &mut p.secrets);
        let tls = self.tls.iter_mut().flat_map(|t| [&mut t.certificate, &mut t.key]);
        secrets.chain(tls).for_each(|path| *path = directory.join(&*path));
    }
}

/// TLS for client connections.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Certificate chain in PEM format, the instance's own certificate first.
    pub certificate: PathBuf,
    /// Private key in PEM format; other users must have no access to the file.
    pub key: PathBuf,
}

impl Tls {
    /// The file paths in the form that the listener takes.
    pub fn files(&self) -> Files {
        Files { certificate: self.certificate.clone(), key: self.key.clone() }
    }
}

/// Communication with the other instances.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address for datagrams and for requests between instances, over UDP and TCP.
    pub listen: SocketAddr,
    /// Files with shared secrets, one or two: the first signs messages; both are accepted, for
    /// rotation.
    pub secrets: Vec<PathBuf>,
}

/// Limits on requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum size of a header section, in bytes.
    pub headers: usize,
    /// Time within which a header section must arrive; also the idle time after which a persistent
    /// connection is closed.
    #[serde(with = "humantime_serde")]
    pub arrival: Duration,
    /// Time within which a request body must arrive.
    #[serde(with = "humantime_serde")]
    pub upload: Duration,
    /// Maximum size of a plain service's response, in bytes.
    pub answer: usize,
    /// Timeout for the first token.
    #[serde(with = "humantime_serde")]
    pub first: Duration,
    /// Timeout between two tokens.
    #[serde(with = "humantime_serde")]
    pub between: Duration,
    /// Maximum number of endpoints tried for one request, 1 to 3.
    pub attempts: u32,
}

impl Default for RequestLimits {
    fn default() -> Self {
        let Limits { body, headers, arrival, upload, answer, first, between, attempts, .. } =
            Limits::default();
        Self { body, headers, arrival, upload, answer, first, between, attempts }
    }
}

impl RequestLimits {
    /// The limits in the form that the request path takes.
    pub fn limits(&self) -> Limits {
        Limits {
            body: self.body,
            headers: self.headers,
            arrival: self.arrival,
            upload: self.upload,
            answer: self.answer,
            first: self.first,
            between: self.between,
            attempts: self.attempts,
            ..Limits::default()
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time between announcing the stop and refusing new requests; covers the balancer's delay in
    /// noticing.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
    /// Time from refusing new requests to aborting those in progress.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

impl Default for Stop {
    fn default() -> Self {
        Self { grace: Duration::from_secs(3), limit: Duration::from_secs(30 * 60) }
    }
}

/// Usage windows; must be the same for all instances.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Usage {
    /// Length of a window; must not change once windows were sealed.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Number of shards into which organisations are divided; must not change once windows were
    /// sealed.
    pub shards: u32,
    /// Time from the end of a window to requesting the instances' counters.
    #[serde(with = "humantime_serde")]
    pub gather: Duration,
    /// Time from the end of a window to its sealing.
    #[serde(with = "humantime_serde")]
    pub grace: Duration,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(60),
            shards: 4,
            gather: Duration::from_secs(1),
            grace: Duration::from_secs(3),
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Filter in the syntax of `flexi_logger`, such as `info` or `info, agate_flow=debug`.
    pub level: String,
    /// Format of the lines.
    pub format: LogFormat,
}

impl Default for Log {
    fn default() -> Self {
        Self { level: "info".into(), format: LogFormat::Text }
    }
}

/// Error that lists every problem of a settings file.
#[derive(Debug)]
pub struct InvalidSettings {
    file: String,
    problems: Vec<String>,
}

impl InvalidSettings {
    /// Creates the error for `file`.
    pub fn new(file: &Path, problems: Vec<String>) -> Self {
        Self { file: file.display().to_string(), problems }
    }
}

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings file {} is invalid:", self.file)?;
        self.problems.iter().try_for_each(|p| write!(f, "\n  {p}"))
    }
}

impl std::error::Error for InvalidSettings {}

/// Reads and validates a settings file.
///
/// Errors: the file cannot be read or parsed, or is invalid; the error lists every problem with its
/// location and the accepted values.
pub fn open(file: &Path) -> Result<Settings, InvalidSettings> {
    let fail = |problems| InvalidSettings::new(file, problems);
    let text = fs::read_to_string(file).map_err(|e| fail(vec![e.to_string()]))?;
    let mut settings: Settings =
        serde_saphyr::from_str(&text).map_err(|e| fail(vec![e.to_string()]))?;
    if let Some(directory) = file.parent() {
        settings.resolve(directory);
    }
    let problems = check(&settings);
    if problems.is_empty() { Ok(settings) } else { Err(fail(problems)) }
}

/// Accepted limits on header sections, in bytes; the upper end is below the server library's own
/// buffer.
const HEADER_LIMITS: RangeInclusive<usize> = 1 << 10..=256 << 10;

/// Validates parsed settings and returns all problems.
pub fn check(settings: &Settings) -> Vec<String> {
    let Settings { name, zone, region, listen, operator, limits, stop, log, usage, .. } = settings;
    let rules: [(bool, &str); 18] = [
        (settings.memory.is_some_and(|m| m < 32), "memory: accepted are 32 MB and more"),
        (settings.descriptors == Some(0), "descriptors: accepted are 1 and more"),
        (!is_valid_name(name), "name: accepted are 1 to 64 letters, digits, `-`, `_` and `.`"),
        (!is_valid_name(zone), "zone: accepted are 1 to 64 letters, digits, `-`, `_` and `.`"),
        (!is_valid_name(region), "region: accepted are 1 to 64 letters, digits, `-`, `_` and `.`"),
        (listen == operator && listen.port() != 0, "operator: must differ from `listen`"),
        (limits.body == 0, "limits.body: accepted are 1 byte and more"),
        (limits.answer == 0, "limits.answer: accepted are 1 byte and more"),
        (
            !HEADER_LIMITS.contains(&limits.headers),
            "limits.headers: accepted are 1024 to 262144 bytes",
        ),
        (limits.arrival.is_zero(), "limits.arrival: accepted are durations above zero"),
        (limits.upload.is_zero(), "limits.upload: accepted are durations above zero"),
        (limits.first.is_zero(), "limits.first: accepted are durations above zero"),
        (limits.between.is_zero(), "limits.between: accepted are durations above zero"),
        (!(1..=MAX_ATTEMPTS).contains(&limits.attempts), "limits.attempts: accepted are 1 to 3"),
        (stop.limit.is_zero(), "stop.limit: accepted are durations above zero"),
        (usage.window.is_zero(), "usage.window: accepted are durations above zero"),
        (usage.shards == 0, "usage.shards: accepted are 1 and more"),
        (usage.gather > usage.grace, "usage.grace: must not be below `usage.gather`"),
    ];
    let mut out: Vec<String> =
        rules.iter().filter(|(broken, _)| *broken).map(|(_, text)| (*text).to_owned()).collect();
    if let Err(e) = flexi_logger::LogSpecification::parse(&log.level) {
        out.push(format!("log.level: {e}"));
    }
    if let Some(Err(e)) = settings.tls.as_ref().map(|t| tls::check(&t.files())) {
        out.push(format!("tls: {e}"));
    }
    let secrets = settings.peers.iter().flat_map(|p| &p.secrets);
    out.extend(secrets.filter_map(|file| read_secret(file).err()));
    if settings.peers.as_ref().is_some_and(|p| !(1..=2).contains(&p.secrets.len())) {
        out.push("peers.secrets: accepted are one or two files".into());
    }
    out
}

/// Permission bits for users other than the owner.
const NON_OWNER_BITS: u32 = 0o077;
/// Minimum length of a shared secret, in bytes.
const MIN_SECRET_LENGTH: usize = 16;

/// Reads a shared secret without trailing white space.
///
/// Errors: the file cannot be read, other users have access to it, or the secret is too short.
pub fn read_secret(file: &Path) -> Result<Vec<u8>, String> {
    let fail = |cause: String| format!("peers.secrets: {}: {cause}", file.display());
    let meta = fs::metadata(file).map_err(|e| fail(e.to_string()))?;
    if meta.permissions().mode() & NON_OWNER_BITS != 0 {
        return Err(fail("others may read it; accepted is mode 0600".into()));
    }
    let secret = fs::read(file).map_err(|e| fail(e.to_string()))?;
    let secret = secret.trim_ascii_end().to_vec();
    if secret.len() < MIN_SECRET_LENGTH {
        return Err(fail(format!("accepted are {MIN_SECRET_LENGTH} bytes and more")));
    }
    Ok(secret)
}

fn is_valid_name(text: &str) -> bool {
    let fits = (1..=64).contains(&text.len());
    fits && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}
