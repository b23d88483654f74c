//! Instances of the system, started with the command of the deploy file.

use {
    crate::{Record, http::get_status},
    std::{
        collections::BTreeMap,
        fs,
        net::{TcpListener, UdpSocket},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// A running instance, killed when dropped.
pub struct Instance {
    pub name: String,
    pub listen: String,
    pub ready: String,
    child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

/// A port that is free for TCP and UDP.
fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = tcp.local_addr().expect("bound").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
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
        let kept = if values.contains_key(&*name) || values.keys().any(|k| *k == name) { inner } else { String::new() };
        text = format!("{}{kept}{}", &text[..begin], &text[stop + close.len()..]);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Instance {
    /// Starts an instance with settings for a small deployment, and waits until it is ready.
    pub fn start(
        root: &Path,
        folder: &Path,
        (name, zone): (&str, &str),
        (store, cloud): (&str, &str),
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
            ("limits.cpuShare", "0.5".into()),
            ("limits.memoryMb", "512".into()),
            ("limits.maxFds", "4100".into()),
            ("bounds.revokeMs", "5000".into()),
            ("bounds.budgetRatio", "0.2".into()),
            ("bounds.budgetWindowS", "10".into()),
            ("bounds.budgetSlack", "194".into()),
            ("bounds.graceS", "8".into()),
            ("bounds.usageWindowS", "5".into()),
            ("bounds.usageLateS", "10".into()),
            (
                "contracts",
                "base,drain,config,cost,retry,recover,health,pool,split,stream,engine,tenants,leader,pressure,platform"
                    .into(),
            ),
        ]);
        let template = fs::read_to_string(root.join("platform/settings.yaml")).ok()?;
        let file: PathBuf = folder.join(format!("{name}.yaml"));
        fs::write(&file, fill(&template, &values)).ok()?;
        let log = fs::File::create(folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new(root.join("target/release/agatetrack"))
            .args(["edge", "--settings"])
            .arg(&file)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        let instance = Self { name: name.into(), listen, ready: monitor, child };
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
