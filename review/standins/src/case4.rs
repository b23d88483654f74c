//! Workers are replaced one after the other: the new one starts first, the old one reports that it is
//! draining, serves on for longer than `drainMs`, and exits. Half of the streams have neither a length nor
//! chunks; some last longer than their worker.

use {
    crate::{
        case3::{CALLERS, CONFIG, Ends, Process, ask},
        machine::{Machine, wait_ready},
        platform::{Store, cloud},
        record::Record,
        sys,
    },
    std::{
        net::SocketAddr,
        path::Path,
        sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        thread,
        time::{Duration, Instant},
    },
};

/// Time from the report to the exit; `drainMs` is 2,000.
const DRAIN: Duration = Duration::from_millis(2_600);

fn new_worker(n: usize) -> Process {
    let address = SocketAddr::from(([127, 0, 0, 1], sys::free_port()));
    Process::new(&format!("i-worker{n}"), address)
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Option<bool> {
    let store = Store::default();
    let (address, cloud) = (store.serve(), cloud());
    store.lock().put("op/config", CONFIG.as_bytes(), 0);
    let list = |worker: &Process, state: &str| {
        let entry = format!(
            r#"{{"service":"oracle","address":"{}","zone":"harju-a","version":"v1","slots":16,"state":"{state}","coldLeftMs":0,"seq":1,"born":1790000000000}}"#,
            worker.address
        );
        store.lock().put(&format!("servers/{}", worker.name), entry.as_bytes(), 0);
    };
    let mut workers: Vec<Process> = (1..=6).map(new_worker).collect();
    for worker in &workers {
        worker.start(record);
        list(worker, "ready");
    }
    let names = ["front-a-1", "front-a-2", "front-b-1"];
    let machines: Vec<Machine> =
        names.iter().map(|name| Machine::new(name, "harju-a", folder, address, cloud)).collect();
    machines.iter().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(5));
    record.say("the machines are ready; traffic begins");

    let ends = Ends::default();
    let (next, stop) = (AtomicU64::new(1000), AtomicBool::new(false));
    let begun = Instant::now();
    thread::scope(|scope| {
        for machine in &machines {
            for lane in 0..CALLERS {
                let (next, stop, ends) = (&next, &stop, &ends);
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(830 * lane));
                    while !stop.load(SeqCst) {
                        let id = format!("l{}", next.fetch_add(1, SeqCst));
                        ask(record, machine, &id, ends);
                    }
                });
            }
        }
        let at = |ms: u64| {
            thread::sleep(
                (begun + Duration::from_millis(ms)).saturating_duration_since(Instant::now()),
            );
        };
        // Of six workers three are replaced, a `release` with share 0.45.
        for n in 0..3 {
            at(12_000 + 5_000 * n as u64);
            if !trouble {
                continue;
            }
            let fresh = new_worker(7 + n);
            fresh.start(record);
            thread::sleep(Duration::from_millis(300));
            list(&fresh, "ready");
            thread::sleep(Duration::from_millis(1_000));
            workers.push(fresh);
            let old = &workers[n];
            record.say(format!("{} reports that it is draining", old.name));
            list(old, "draining");
            thread::sleep(DRAIN);
            record.say(format!("{} exits, {} ms later", old.name, DRAIN.as_millis()));
            old.terminate();
            store.lock().remove(&format!("servers/{}", old.name));
        }
        at(29_000);
        stop.store(true, SeqCst);
    });
    let ends = ends.into_inner().expect("not poisoned");
    for (end, count) in &ends {
        record.say(format!("{count} answers: {end}"));
    }
    for machine in machines.iter().filter(|m| m.ended()) {
        record.say(format!("{} ended by itself", machine.name));
    }
    let short = ends.get("cut short, but complete to the client").copied().unwrap_or(0);
    ends.contains_key("whole").then_some(short == 0)
}
