//! The demo: instances and every outside system in one process, over loopback.

use {
    crate::{
        configs::edit,
        instance::Instance,
        settings::{Bounds, Log, Settings, Stop},
    },
    agate_config::{Document, doc::PoolKind, publish, section::Section},
    agate_standin::{Engine, EngineSettings, Platform, Service},
    eyre::{Result, WrapErr, bail, eyre},
    std::{fs, net::SocketAddr, path::Path},
};

/// Document that the demo runs when none is named.
const BUILT_IN: &str = include_str!("../../../examples/savikoda.yaml");

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
    /// The document in force.
    pub document: Document,
}

impl Demo {
    /// Starts the stand-ins that `document` calls for, applies it, and starts `count` instances from
    /// `listen` upwards (port zero for any) with `bounds` on requests.
    pub async fn spawn(
        mut document: Document,
        listen: SocketAddr,
        count: u16,
        bounds: Bounds,
    ) -> Result<Self> {
        let platform = Platform::bind(loopback()).await?;
        let (mut engines, mut services) = (Vec::new(), Vec::new());
        let names: Vec<String> = document.fleet.endpoints.keys().cloned().collect();
        for name in names {
            let kind = document.fleet.pools[&document.fleet.endpoints[&name].pool].kind;
            let address = match kind {
                PoolKind::Engine => {
                    let engine = Engine::bind(loopback(), engine_settings(&document, &name));
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
        let store = agate_platform::store::open(platform.address());
        publish::apply(&store, &edit("demo", document.clone(), Section::ALL.to_vec()))
            .await
            .wrap_err("applying the document")?;
        let zones: Vec<String> = document.fleet.zones.keys().cloned().collect();
        let mut instances = Vec::new();
        for i in 0..count {
            let zone = &zones[usize::from(i) % zones.len()];
            let settings = instance_settings(i, zone, listen, platform.address());
            let settings = Settings { limits: bounds.clone(), ..settings };
            instances.push(Instance::spawn(&settings, store.clone()).await?);
        }
        Ok(Self { instances, platform, engines, services, document })
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

/// Settings of the engine `name`, which loads the current version of every model of its pool.
fn engine_settings(document: &Document, name: &str) -> EngineSettings {
    let endpoint = &document.fleet.endpoints[name];
    let models = document.models.iter().filter(|(_, m)| m.pool == endpoint.pool);
    let models = models.map(|(n, m)| (n.clone(), m.current.clone().unwrap_or_default()));
    let pool = &document.fleet.pools[&endpoint.pool];
    EngineSettings {
        name: name.to_owned(),
        models: models.collect(),
        slots: pool.slots as usize,
        fenced: pool.fenced,
        ..EngineSettings::default()
    }
}

fn instance_settings(i: u16, zone: &str, listen: SocketAddr, platform: SocketAddr) -> Settings {
    let port = |base: u16| if listen.port() == 0 { 0 } else { base + i };
    Settings {
        name: format!("entry-{}", i + 1),
        zone: zone.to_owned(),
        listen: SocketAddr::new(listen.ip(), port(listen.port())),
        operator: SocketAddr::new(listen.ip(), port(listen.port().saturating_add(1000))),
        platform,
        limits: Bounds::default(),
        stop: Stop { grace: std::time::Duration::from_millis(100) },
        log: Log::default(),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
