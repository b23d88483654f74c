//! Stand-ins and cases of the review: `review-3 CASE ROOT RECORD FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod drill;
mod http;
mod instance;
mod platform;
mod usage;
mod worker;

use std::{
    env,
    fs::File,
    io::Write,
    path::PathBuf,
    process::exit,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a case, a line each event with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().expect("not poisoned");
        let _ = writeln!(file, "{:8.3} {text}", self.1.elapsed().as_secs_f64());
    }
}

/// Result of a case.
pub enum Outcome {
    Broken,
    Held,
    NotRun,
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, root, record, folder] = &args[..] else { exit(2) };
    let Ok(file) = File::create(record) else { exit(2) };
    let record = Record(Arc::new(Mutex::new(file)), Instant::now());
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "usage" => usage::run(&root, &folder, trouble, &record),
        "drill" => drill::run(&root, &folder, trouble, &record),
        _ => Outcome::NotRun,
    };
    let (code, text) = match outcome {
        Outcome::Broken => (1, "broken"),
        Outcome::Held => (0, "held"),
        Outcome::NotRun => (2, "not run"),
    };
    record.line(&format!("the rule: {text}"));
    println!("the rule: {text}");
    exit(code);
}
