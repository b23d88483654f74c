//! Front machines: the project's program as processes.

use {
    crate::{http, sys},
    std::{
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// A front machine.
pub struct Machine {
    pub name: String,
    pub listen: SocketAddr,
    pub monitor: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Machine {
    /// Writes its settings, as the template of the deploy file makes them.
    pub fn new(
        name: &str,
        zone: &str,
        folder: &Path,
        store: SocketAddr,
        cloud: SocketAddr,
    ) -> Self {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (listen, monitor, peers) =
            (at(sys::free_port()), at(sys::free_port()), at(sys::free_port()));
        let settings = format!(
            "name: \"{name}\"\nzone: \"{zone}\"\nlisten: \"{listen}\"\nmonitor: \"{monitor}\"\n\
             peers: \"{peers}\"\nstore: \"{store}\"\norders: \"{cloud}\"\nprocessor: 0.25\n\
             keys: {{ age: \"5000ms\" }}\n\
             retries: {{ ratio: 0.2, window: \"10s\", slack: 56 }}\nstop: {{ limit: \"8s\" }}\n\
             usage: {{ window: \"5s\", late: \"10s\" }}\nlog: {{ level: \"info\" }}\n"
        );
        let file = folder.join(format!("{name}.yaml"));
        fs::write(&file, settings).expect("a writable folder");
        Self {
            name: name.into(),
            listen,
            monitor,
            file,
            log: folder.join(format!("{name}.log")),
            child: Mutex::new(None),
        }
    }

    pub fn start(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a writable folder");
        let errors = log.try_clone().expect("a file");
        let child = Command::new("target/release/agatetrack")
            .args(["edge", "--settings"])
            .arg(&self.file)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        match child {
            Ok(child) => *self.child.lock().expect("not poisoned") = Some(child),
            Err(e) => {
                eprintln!("target/release/agatetrack: {e}");
            }
        }
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &*self.child.lock().expect("not poisoned") {
            sys::signal(child.id(), number);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().expect("not poisoned").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn ended(&self) -> bool {
        let mut child = self.child.lock().expect("not poisoned");
        child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::call(self.monitor, request, b"", Duration::from_secs(1))
            .is_some_and(|r| r.status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all machines are ready; returns whether they are within `limit`.
pub fn wait_ready(machines: &[Machine], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !machines.iter().all(Machine::is_ready) {
        if Instant::now() > end {
            eprintln!("the machines are not ready");
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}
