//! The demo: instances and every outside system in one process, over loopback.

use {
    crate::{
        configs::edit,
        instance::Instance,
        settings::{Bounds, Log, Peers, Settings, Stop, Usage},
    },
    agate_config::{
        Document,
        doc::{PoolKind, Role},
        publish,
        section::Section,
    },
    agate_standin::{
        Engine, EngineSettings, Platform, PlatformFaults, Service,
        platform::{Instance as Listed, Supply},
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

/// Document that the demo runs when none is named.
const BUILT_IN: &str = include_str!("../../../examples/savikoda.yaml");

/// Distance between the ports for callers and for operators.
const OPERATOR_SHIFT: u16 = 1000;
/// Time for which a stopping instance still takes new requests.
const GRACE: Duration = Duration::from_millis(100);

/// Time from an order to its endpoints in the demo.
const SUPPLY_LAG: Duration = Duration::from_secs(1);
/// Length of a usage window in the demo.
const WINDOW: Duration = Duration::from_secs(10);

/// Everything that the demo runs.
pub struct Demo {
    /// The instances.
    pub instances: Vec<Instance>,
    /// The platform's stand-in.
    pub platform: Platform,
    /// The engines' stand-ins.
    pub engines: Vec<Engine>,
    /// The services' stand-ins.
    pub services: Vec<Service>,
    /// The stand-ins of ordered endpoints, by name; only the running ones.
    pub ordered: Ordered,
    /// The document in force.
    pub document: Document,
    _secret: Secret,
}

impl Demo {
    /// Starts the stand-ins that `document` calls for, applies it, and starts `count` instances from
    /// `listen` upwards (port zero for any) with `bounds` on requests.
    pub async fn spawn(
        document: Document,
        listen: SocketAddr,
        count: u16,
        bounds: Bounds,
    ) -> Result<Self> {
        let usage = Usage { window: WINDOW, ..Usage::default() };
        Self::spawn_metered(document, listen, count, bounds, usage).await
    }

    /// As [`Demo::spawn`], with settings of usage windows.
    pub async fn spawn_metered(
        document: Document,
        listen: SocketAddr,
        count: u16,
        bounds: Bounds,
        usage: Usage,
    ) -> Result<Self> {
        Self::spawn_faulty(document, listen, count, (bounds, usage), |_| ()).await
    }

    /// As [`Demo::spawn_metered`], with faults of the platform from the start.
    pub async fn spawn_faulty(
        mut document: Document,
        listen: SocketAddr,
        count: u16,
        (bounds, usage): (Bounds, Usage),
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
        let secret = Secret::create().wrap_err("writing the demo's shared secret")?;
        let zones: Vec<String> = document.fleet.zones.keys().cloned().collect();
        let mut instances = Vec::new();
        for i in 0..count {
            let zone = &zones[usize::from(i) % zones.len()];
            let region = &document.fleet.zones[zone].region;
            let settings = Settings {
                name: format!("entry-{}", i + 1),
                zone: zone.clone(),
                region: region.clone(),
                listen: shift(listen, i),
                operator: shift(shift(listen, OPERATOR_SHIFT), i),
                platform: platform.address(),
                tls: None,
                peers: Some(Peers { listen: loopback(), secrets: vec![secret.0.clone()] }),
                limits: bounds.clone(),
                stop: Stop { grace: GRACE, ..Stop::default() },
                usage: usage.clone(),
                log: Log::default(),
            };
            instances.push(Instance::spawn(&settings, store.clone()).await?);
        }
        let ordered = supply(&platform, &document);
        let demo =
            Self { instances, platform, engines, services, ordered, document, _secret: secret };
        demo.list_instances();
        Ok(demo)
    }

    /// Puts every instance on the platform's list.
    fn list_instances(&self) {
        let listed = self.instances.iter().filter_map(|i| {
            let identity = i.mesh.member()?.identity().clone();
            let (zone, state) = (i.gate.zone.clone(), "live".to_owned());
            Some(Listed { name: identity.name.to_string(), zone, address: identity.address, state })
        });
        self.platform.set_instances(listed.collect());
    }

    /// Lines of text that tell a person how to try the system.
    pub fn guide(&self) -> String {
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

/// Reads and verifies the document in `file`; the built-in one if absent.
pub fn read(file: Option<&Path>) -> Result<Document> {
    let (name, text) = match file {
        Some(file) => {
            let text = fs::read_to_string(file);
            (
                file.display().to_string(),
                text.wrap_err_with(|| format!("reading {}", file.display()))?,
            )
        }
        None => ("the built-in document".into(), BUILT_IN.to_owned()),
    };
    let document = agate_config::parse(&text).map_err(|p| eyre!("{name}: {}", list(&p)))?;
    let problems = agate_config::verify(&document);
    if !problems.is_empty() {
        bail!("{name} is invalid:{}", list(&problems));
    }
    Ok(document)
}

fn list(problems: &[agate_config::Problem]) -> String {
    problems.iter().map(|p| format!("\n  {p}")).collect()
}

/// Stand-ins of ordered endpoints, by name.
pub type Ordered = Arc<Mutex<IndexMap<String, Engine>>>;

/// Lets the platform bring ordered engines to life and end them.
fn supply(platform: &Platform, document: &Document) -> Ordered {
    let ordered = Ordered::default();
    let (document, begun, ended) = (Arc::new(document.clone()), ordered.clone(), ordered.clone());
    platform.supply(Supply {
        lag: SUPPLY_LAG,
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

/// Settings of the engine `name` of a pool, which loads the current version of all its models.
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

/// A file with a random shared secret, removed when dropped.
struct Secret(PathBuf);

impl Secret {
    fn create() -> io::Result<Self> {
        let name = format!("agatetrack-demo-{:016x}", rand::random::<u64>());
        let path = std::env::temp_dir().join(name);
        let mut file = OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path)?;
        file.write_all(format!("{:032x}", rand::random::<u128>()).as_bytes())?;
        Ok(Self(path))
    }
}

impl Drop for Secret {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// The address `by` ports higher; any free port stays so.
fn shift(address: SocketAddr, by: u16) -> SocketAddr {
    let port = if address.port() == 0 { 0 } else { address.port().saturating_add(by) };
    SocketAddr::new(address.ip(), port)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
