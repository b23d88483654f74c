//! The `demo` command: runs instances and stand-ins of all external systems in one process, over
//! loopback.

use {
    crate::{
        configs::edit,
        instance::Instance,
        settings::{Log, Peers, RequestLimits, Settings, Stop, Usage},
    },
    agate_config::{
        Document,
        doc::{PoolKind, Role},
        publish,
        section::Section,
    },
    agate_standin::{
        Engine, EngineSettings, Platform, PlatformFaults, Service,
        platform::{Instance as Listed, Provisioner},
    },
    eyre::{Result, WrapErr, bail, eyre},
    indexmap::IndexMap,
    std::{
        fs::{self, OpenOptions},
        io::{self, Write},
        net::SocketAddr,
        os::unix::fs::OpenOptionsExt,
        path::{Path, PathBuf},
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Document that the demo runs if no file is given.
const BUILT_IN_DOCUMENT: &str = include_str!("../../../examples/savikoda.yaml");

/// Distance between an instance's port for clients and its port for operators.
const OPERATOR_PORT_OFFSET: u16 = 1000;
/// Time for which a stopping instance still accepts new requests.
const STOP_GRACE: Duration = Duration::from_millis(100);

/// Time from an order to the start of its endpoints.
const PROVISION_DELAY: Duration = Duration::from_secs(1);
/// Length of a usage window.
const USAGE_WINDOW: Duration = Duration::from_secs(10);

/// The running instances and stand-ins of a demo.
pub struct Demo {
    /// The instances, in the order of their ports.
    pub instances: Vec<Instance>,
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Stand-ins of the declared engines.
    pub engines: Vec<Engine>,
    /// Stand-ins of the declared services.
    pub services: Vec<Service>,
    /// Running stand-ins of ordered endpoints, by name.
    pub ordered: OrderedEngines,
    /// The applied document, with the addresses of the stand-ins.
    pub document: Document,
    _secret: SecretFile,
}

impl Demo {
    /// Starts the stand-ins of the endpoints in `document`, applies it, and starts `count`
    /// instances on consecutive ports from `listen` (port zero picks free ports), with `bounds` as
    /// request limits.
    ///
    /// Errors: an address cannot be bound, the document is refused, or the shared secret cannot be
    /// written.
    pub async fn spawn(
        document: Document,
        listen: SocketAddr,
        count: u16,
        bounds: RequestLimits,
    ) -> Result<Self> {
        let usage = Usage { window: USAGE_WINDOW, ..Usage::default() };
        Self::spawn_with_usage(document, listen, count, bounds, usage).await
    }

    /// Like [`Demo::spawn`], with settings for usage windows.
    pub async fn spawn_with_usage(
        document: Document,
        listen: SocketAddr,
        count: u16,
        bounds: RequestLimits,
        usage: Usage,
    ) -> Result<Self> {
        Self::spawn_with_faults(document, listen, count, (bounds, usage), |_| ()).await
    }

    /// Like [`Demo::spawn_with_usage`], with faults of the platform injected from the start.
    pub async fn spawn_with_faults(
        mut document: Document,
        listen: SocketAddr,
        count: u16,
        (bounds, usage): (RequestLimits, Usage),
        faults: impl FnOnce(&mut PlatformFaults),
    ) -> Result<Self> {
        let platform = Platform::bind(loopback()).await?;
        platform.set(faults);
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        let names: Vec<String> = document.fleet.endpoints.keys().cloned().collect();
        for name in names {
            let pool = document.fleet.endpoints[&name].pool.clone();
            let kind = document.fleet.pools[&pool].kind;
            let address = match kind {
                PoolKind::Engine => {
                    let engine = Engine::bind(loopback(), engine_settings(&document, &pool, &name));
                    engines.push(engine.await?);
                    engines.last().expect("just pushed").address()
                }
                PoolKind::Service => {
                    services.push(Service::bind(loopback(), &name).await?);
                    services.last().expect("just pushed").address()
                }
            };
            document.fleet.endpoints[&name].address = address;
        }
        let store = agate_native::store::open(platform.address());
        let change = edit("demo", document.clone(), Section::ALL.to_vec());
        publish::apply(&store, &change).await.wrap_err("applying the document")?;
        let secret = SecretFile::create().wrap_err("writing the demo's shared secret")?;
        let zones: Vec<String> = document.fleet.zones.keys().cloned().collect();
        let mut instances = Vec::new();
        for i in 0..count {
            let zone = &zones[usize::from(i) % zones.len()];
            let region = &document.fleet.zones[zone].region;
            let settings = Settings {
                name: format!("entry-{}", i + 1),
                zone: zone.clone(),
                region: region.clone(),
                listen: offset_port(listen, i),
                operator: offset_port(offset_port(listen, OPERATOR_PORT_OFFSET), i),
                platform: platform.address(),
                tls: None,
                memory: None,
                descriptors: None,
                peers: Some(Peers { listen: loopback(), secrets: vec![secret.0.clone()] }),
                limits: bounds.clone(),
                stop: Stop { grace: STOP_GRACE, ..Stop::default() },
                usage: usage.clone(),
                log: Log::default(),
            };
            instances.push(Instance::spawn(&settings, store.clone()).await?);
        }
        let ordered = provision_engines(&platform, &document);
        let demo =
            Self { instances, platform, engines, services, ordered, document, _secret: secret };
        demo.list_instances();
        Ok(demo)
    }

    /// Sets the platform's instance list to the instances of the demo.
    fn list_instances(&self) {
        let listed = self.instances.iter().filter_map(|i| {
            let identity = i.mesh.member()?.identity().clone();
            let (zone, state) = (i.proxy_state.zone.clone(), "live".to_owned());
            Some(Listed { name: identity.name.to_string(), zone, address: identity.address, state })
        });
        self.platform.set_instances(listed.collect());
    }

    /// Returns addresses and example commands for trying the demo.
    pub fn instructions(&self) -> String {
        let mut out = String::new();
        let mut line = |text: String| {
            out.push_str(&text);
            out.push('\n');
        };
        let address = self.instances[0].address();
        for (i, instance) in self.instances.iter().enumerate() {
            let (callers, operators) = (instance.address(), instance.operator());
            line(format!(
                "instance {}: callers http://{callers}  operators http://{operators}",
                i + 1
            ));
        }
        let org = self.document.organisations.keys().next().map_or("", String::as_str);
        let model = self.document.models.keys().next().map_or("", String::as_str);
        line(String::new());
        line("A streamed model answer:".into());
        line(format!(
            "  curl -N http://{address}/v1/chat/completions -H 'authorization: Bearer demo-{org}-key' \
             -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":20,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Does this glaze match?\"}}]}}'"
        ));
        for route in &self.document.routes {
            let Some(method) = route.methods.first() else { continue };
            if route.pool.is_none() {
                continue;
            }
            let path = if route.path.ends_with('/') {
                format!("{}1", route.path)
            } else {
                route.path.clone()
            };
            let key = if route.open {
                String::new()
            } else {
                format!(" -H 'authorization: Bearer demo-{org}-key'")
            };
            let booking = if route.idempotent || method == "GET" {
                String::new()
            } else {
                " -H 'idempotency-key: try-1' -d '{\"slot\":1}'".into()
            };
            line(format!("  curl -X {method} http://{address}{path}{key}{booking}"));
        }
        line("Without a key:".into());
        line(format!("  curl -X POST http://{address}/v1/chat/completions -d '{{}}'"));
        out
    }

    /// Stops every instance gracefully.
    pub async fn stop(self) {
        for instance in self.instances {
            instance.stop().await;
        }
    }
}

/// Reads and verifies the document in `file`, or the built-in one if `None`.
///
/// Errors: the file cannot be read, or the document is malformed or invalid; every problem is
/// listed.
pub fn read(file: Option<&Path>) -> Result<Document> {
    let (name, text) = match file {
        Some(file) => {
            let text = fs::read_to_string(file);
            (
                file.display().to_string(),
                text.wrap_err_with(|| format!("reading {}", file.display()))?,
            )
        }
        None => ("the built-in document".into(), BUILT_IN_DOCUMENT.to_owned()),
    };
    let document =
        agate_config::parse(&text).map_err(|p| eyre!("{name}: {}", format_problems(&p)))?;
    let problems = agate_config::verify(&document);
    if !problems.is_empty() {
        bail!("{name} is invalid:{}", format_problems(&problems));
    }
    Ok(document)
}

fn format_problems(problems: &[agate_config::Problem]) -> String {
    problems.iter().map(|p| format!("\n  {p}")).collect()
}

/// Running stand-ins of ordered endpoints, by name.
pub type OrderedEngines = Arc<Mutex<IndexMap<String, Engine>>>;

/// Makes the platform's stand-in start an engine for each ordered endpoint and stop it on release.
fn provision_engines(platform: &Platform, document: &Document) -> OrderedEngines {
    let ordered = OrderedEngines::default();
    let (document, begun, ended) = (Arc::new(document.clone()), ordered.clone(), ordered.clone());
    platform.set_provisioner(Provisioner {
        lag: PROVISION_DELAY,
        start: Arc::new(move |name, order| {
            let (name, begun) = (name.to_owned(), begun.clone());
            let settings = engine_settings(&document, &order.pool, &name);
            Box::pin(async move {
                let engine = Engine::bind(loopback(), settings).await.ok()?;
                let address = engine.address();
                begun.lock().expect("no panic while locked").insert(name, engine);
                Some(address)
            })
        }),
        end: Arc::new(move |name| {
            let engine = ended.lock().expect("no panic while locked").shift_remove(name);
            if let Some(engine) = engine {
                engine.stop();
            }
        }),
    });
    ordered
}

/// Settings of the engine `name` of `pool`, which loads the current version of every model of the
/// pool.
fn engine_settings(document: &Document, pool: &str, name: &str) -> EngineSettings {
    let models = document.models.iter().filter(|(_, m)| m.pool == pool);
    let models = models.map(|(n, m)| (n.clone(), m.current.clone().unwrap_or_default()));
    let pool = &document.fleet.pools[pool];
    let role = match document.fleet.endpoints.get(name).map_or(Role::Both, |e| e.role) {
        Role::Both => "both",
        Role::Prefill => "prefill",
        Role::Decode => "decode",
    };
    EngineSettings {
        name: name.to_owned(),
        role: role.into(),
        models: models.collect(),
        slots: pool.slots as usize,
        fenced: pool.fenced,
        ..EngineSettings::default()
    }
}

/// A temporary file with a random shared secret; removed on drop.
struct SecretFile(PathBuf);

impl SecretFile {
    fn create() -> io::Result<Self> {
        let name = format!("agatetrack-demo-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
        file.write_all(format!("{:032x}", rand::random::<u128>()).as_bytes())?;
        Ok(Self(path))
    }
}

impl Drop for SecretFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Returns `address` with its port raised by `by`; port zero stays zero.
fn offset_port(address: SocketAddr, by: u16) -> SocketAddr {
    let port = if address.port() == 0 { 0 } else { address.port().saturating_add(by) };
    SocketAddr::new(address.ip(), port)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
