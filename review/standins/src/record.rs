//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    origin: Instant,
}

impl Record {
    pub fn create(file: &str) -> Option<Self> {
        Some(Self { file: Arc::new(Mutex::new(File::create(file).ok()?)), origin: Instant::now() })
    }

    /// Adds a line with the time in seconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.origin.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().expect("not poisoned"), "{at:8.3} {}", text.as_ref());
    }

    /// Adds a line that is printed too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
