//! A small deployment: instances as processes, worker processes, and the record of a run.

use {
    crate::{http, store::Store},
    serde_json::{Value, json},
    std::{
        env,
        fs::{self, File},
        io::Write,
        net::{SocketAddr, TcpListener, UdpSocket},
        os::fd::OwnedFd,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Host of all routes.
pub const HOST: &str = "a.example";
/// API key of the only tenant.
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Whether the disruption happens.
pub fn trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// The file in which a run is recorded; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path:?}: {e}")));
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        writeln!(file, "{at:8.3} {text}").expect("a writable record");
    }
}

/// Ends a case that could not run.
pub fn cannot_run(why: &str) -> ! {
    panic!("the case could not run: {why}")
}

/// A free address for TCP and UDP.
fn free() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// A process that is killed when dropped.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An instance; its process ends when this is dropped.
pub struct Instance {
    pub listen: SocketAddr,
    pub monitor: SocketAddr,
    process: Process,
    file: PathBuf,
    log: PathBuf,
}

impl Instance {
    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.0.kill();
        let _ = self.process.0.wait();
    }

    /// Starts the process again with the same settings.
    pub fn start(&mut self) {
        self.process = spawn_instance(&self.file, &self.log);
    }
}

/// Folder of one run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create(case: &str) -> Self {
        let path = env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&format!("{path:?}: {e}")));
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Path of the project's binary, as the deploy file builds it.
fn binary() -> PathBuf {
    let path = PathBuf::from("target/release/agatetrack");
    if !path.exists() {
        cannot_run("target/release/agatetrack is missing");
    }
    path
}

/// Writes the settings as the project's template has them, and starts an instance with the command of the
/// deploy file.
pub fn instance(folder: &Folder, store: &Store, name: &str, terms: &str) -> Instance {
    let (listen, monitor, peers) = (free(), free(), free());
    let text = format!(
        "name: \"{name}\"\nzone: \"a\"\nlisten: \"{listen}\"\nmonitor: \"{monitor}\"\npeers: \"{peers}\"\n\
         store: \"{}\"\norders: \"{}\"\nprocessor: 0.25\nmemory: 260\ndescriptors: 4100\n\
         keys: {{ age: \"5000ms\" }}\nretries: {{ ratio: 0.2, window: \"10s\", slack: 56 }}\n\
         stop: {{ limit: \"8s\" }}\nusage: {{ window: \"5s\", late: \"10s\" }}\n\
         log: {{ level: \"info\" }}\nterms: \"{terms}\"\n",
        store.address, store.orders
    );
    let (file, log) = (folder.0.join(format!("{name}.yaml")), folder.0.join(format!("{name}.log")));
    fs::write(&file, text).expect("a writable folder");
    Instance { listen, monitor, process: spawn_instance(&file, &log), file, log }
}

fn spawn_instance(file: &Path, log: &Path) -> Process {
    let out = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
    let errors = out.try_clone().expect("a log");
    let started = Command::new(binary())
        .args(["edge", "--settings"])
        .arg(file)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(errors)
        .spawn();
    Process(started.unwrap_or_else(|e| cannot_run(&e.to_string())))
}

/// Waits until all instances say that they are ready, and a while longer.
pub fn wait_ready(instances: &[Instance]) {
    let end = Instant::now() + Duration::from_secs(20);
    let ready = |i: &Instance| {
        http::call(i.monitor, "GET", "/-/ready", &[], b"", Duration::from_secs(1)).status == 200
    };
    while !instances.iter().all(ready) {
        if Instant::now() > end {
            cannot_run("the instances are not ready");
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(3));
}

/// What a worker process is started with.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub name: String,
    pub service: String,
    pub version: String,
    /// `decode`, or empty for a plain service.
    pub stage: String,
    pub zone: String,
    /// Microseconds for which the memory of one token takes the link.
    pub token_us: u64,
    /// Milliseconds that the process needs before it serves.
    pub boot_ms: u64,
    /// Whether its streams come in chunks; otherwise they end with their connections.
    pub chunked: bool,
    /// Places to run and to wait, such as `6+18`; empty if there is no limit.
    pub slots: &'static str,
}

/// Starts a worker that serves on `listener`, which the caller keeps open across its restarts.
pub fn worker(
    folder: &Folder,
    store: &Store,
    spec: &WorkerSpec,
    listener: &TcpListener,
) -> Process {
    let own = env::current_exe().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let path = folder.0.join(format!("{}.runs", spec.name));
    let log = fs::OpenOptions::new().create(true).append(true).open(path).expect("a log");
    let input = OwnedFd::from(listener.try_clone().expect("a listener"));
    let WorkerSpec { name, service, version, stage, zone, token_us, boot_ms, chunked, slots } =
        spec;
    let mut command = Command::new(own);
    if *chunked {
        command.env("CHUNKED", "1");
    }
    if !slots.is_empty() {
        command.env("SLOTS", slots);
    }
    let started = command
        .args(["worker", name, service, version, stage, zone])
        .args([store.address.to_string(), token_us.to_string(), boot_ms.to_string()])
        .stdin(input)
        .stdout(log)
        .spawn();
    Process(started.unwrap_or_else(|e| cannot_run(&e.to_string())))
}

/// Lines that a worker wrote about what it ran.
pub fn runs(folder: &Folder, name: &str) -> Vec<String> {
    let text = fs::read_to_string(folder.0.join(format!("{name}.runs"))).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

/// A configuration with the given routes and services.
pub fn config(version: u64, routes: &[Value], services: &[Value]) -> Value {
    config_with(version, routes, services, &[KEY])
}

/// The same with the keys of the tenant.
pub fn config_with(version: u64, routes: &[Value], services: &[Value], keys: &[&str]) -> Value {
    json!({"version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": keys}]})
}

/// A route; its prefix is its name.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, more: Value) -> Value {
    let mut out = json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeoutMs": timeout_ms, "sloMs": 300, "priority": 0, "service": service, "attempts": 2,
        "public": false, "resumable": false});
    if let (Some(out), Some(more)) = (out.as_object_mut(), more.as_object()) {
        out.extend(more.clone());
    }
    out
}
