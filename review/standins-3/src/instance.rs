//! Instances of the system, started with the command of the deploy file.

use {
    crate::{Record, http::get_status},
    std::{
        collections::BTreeMap,
        fs,
        net::{TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{self, Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering::Relaxed},
        thread,
        time::{Duration, Instant},
    },
};

/// Figures of a site that settings of its machines hold.
pub struct Site {
    pub share: &'static str,
    pub memory: &'static str,
    pub slack: &'static str,
    pub contracts: &'static str,
}

/// `savikoda-route`.
pub const SAVIKODA: Site = Site {
    share: "0.25",
    memory: "260",
    slack: "56",
    contracts: "base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform",
};

/// A running instance, killed when dropped.
pub struct Instance {
    pub name: String,
    pub listen: String,
    pub ready: String,
    root: PathBuf,
    file: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

/// Runs the command of the deploy file.
fn spawn(root: &Path, file: &Path, log: &Path) -> Option<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log).ok()?;
    let mut command = Command::new(root.join("target/release/agatetrack"));
    command.args(["edge", "--settings"]).arg(file).current_dir(root).stdin(Stdio::null());
    command.stdout(log.try_clone().ok()?).stderr(log).spawn().ok()
}

/// A port that is free for TCP and UDP, below the range that the system gives to connections.
fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let port = 12_000 + (process::id() * 61 + NEXT.fetch_add(1, Relaxed)) % 18_000;
        let address = ("127.0.0.1", port as u16);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port as u16;
        }
    }
}

/// Fills the template as the platform does.
fn fill(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let end = begin + text[begin..].find("}}").expect("a closed section");
        let name = text[begin + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let stop = text.find(&close).expect("an end of the section");
        let inner = text[end + 2..stop].to_owned();
        let kept = if values.contains_key(&*name) || values.keys().any(|k| *k == name) {
            inner
        } else {
            String::new()
        };
        text = format!("{}{kept}{}", &text[..begin], &text[stop + close.len()..]);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Instance {
    /// Kills the process with SIGKILL.
    pub fn kill(&mut self, record: &Record) {
        let _ = (self.child.kill(), self.child.wait());
        record.line(&format!("instance {} is killed", self.name));
    }

    /// Starts the process again that was killed; returns whether it was started.
    pub fn start_again(&mut self, record: &Record) -> bool {
        let Some(child) = spawn(&self.root, &self.file, &self.log) else { return false };
        self.child = child;
        record.line(&format!("instance {} is started again", self.name));
        true
    }

    /// Starts an instance with settings for a small deployment, and waits until it is ready.
    pub fn start(
        root: &Path,
        folder: &Path,
        (name, zone): (&str, &str),
        (store, cloud): (&str, &str),
        site: &Site,
        record: &Record,
    ) -> Option<Self> {
        let [front, ready, peers] = [free_port(), free_port(), free_port()];
        let (listen, monitor) = (format!("127.0.0.1:{front}"), format!("127.0.0.1:{ready}"));
        let values = BTreeMap::from([
            ("node", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", listen.clone()),
            ("listen.ready", monitor.clone()),
            ("ip", "127.0.0.1".into()),
            ("portRange.0", peers.to_string()),
            ("platform.address", store.to_owned()),
            ("cloud.address", cloud.to_owned()),
            ("limits.cpuShare", site.share.into()),
            ("limits.memoryMb", site.memory.into()),
            ("limits.maxFds", "4100".into()),
            ("bounds.revokeMs", "5000".into()),
            ("bounds.budgetRatio", "0.2".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.budgetSlack", site.slack.into()),
            ("bounds.graceS", "8".into()),
            ("bounds.usageWindowS", "5".into()),
            ("bounds.usageLateS", "10".into()),
            ("contracts", site.contracts.into()),
        ]);
        let template = fs::read_to_string(root.join("platform/settings.yaml")).ok()?;
        let file: PathBuf = folder.join(format!("{name}.yaml"));
        fs::write(&file, fill(&template, &values)).ok()?;
        let log = folder.join(format!("{name}.log"));
        let child = spawn(root, &file, &log)?;
        let root = root.to_owned();
        let instance = Self { name: name.into(), listen, ready: monitor, root, file, log, child };
        let begun = Instant::now();
        while get_status(&instance.ready, "/-/ready") != 200 {
            if begun.elapsed() > Duration::from_secs(20) {
                record.line(&format!("instance {name} is not ready after 20 s"));
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("instance {name} is ready"));
        Some(instance)
    }
}
