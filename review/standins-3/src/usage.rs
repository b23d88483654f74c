//! The store comes back from a copy of before a usage window was sealed, and the process that reported it is killed.

use {
    crate::{
        Outcome, Record,
        http::Reader,
        instance::{Instance, SAVIKODA},
        platform::{Store, serve_duties},
        worker::{Worker, millis},
    },
    serde_json::{Value, json},
    std::{
        env,
        io::{self, Write},
        net::{TcpListener, TcpStream},
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

const ZONE: &str = "harju-a";
/// Bound `usageWindowS` of the site, in milliseconds.
const WINDOW: u64 = 5000;
/// Time from the end of the window until the copy of the store is made.
const COPY: u64 = 400;
/// Time for which the store is away, and the processes are down.
const AWAY: Duration = Duration::from_millis(500);

fn config() -> Value {
    json!({"version": 7,
        "routes": [{"name": "r-nn4fm5h", "host": "ficu95.example", "prefix": "/pule252/", "kind": "unsafe",
            "timeoutMs": 800, "sloMs": 300, "priority": 2, "service": "order-desk", "attempts": 1,
            "public": false, "resumable": false}],
        "services": [{"name": "order-desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1",
            "tls": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": ["r26tta828m82thhkmgjq"], "priority": 1}]})
}

/// Sends a request and returns the status of the response.
fn call(listen: &str, id: &str) -> io::Result<u16> {
    let mut io = TcpStream::connect(listen)?;
    io.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "POST /pule252/2f HTTP/1.1\r\nhost: ficu95.example\r\nrequest-id: {id}\r\ndeadline-ms: 1500\r\n\
         api-key: r26tta828m82thhkmgjq\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok"
    );
    io.write_all(head.as_bytes())?;
    Ok(Reader::new(io).message()?.status())
}

fn wait_until(time: u64) {
    thread::sleep(Duration::from_millis(time.saturating_sub(millis())));
}

pub fn run(root: &Path, folder: &Path, trouble: bool, record: &Record) -> Outcome {
    // For trials: one of the two disruptions alone, all processes killed, and another first era.
    let all = env::var("KILL").is_ok_and(|which| which == "all");
    let only = env::var("ONLY").unwrap_or_default();
    let first = env::var("FIRST_ERA").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    let store = Store::with_era(first);
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (listener, duties) = (bind(), bind());
    let address = |l: &TcpListener| l.local_addr().expect("bound").to_string();
    let (store_address, duties_address) = (address(&listener), address(&duties));
    store.serve(listener);
    let reports = serve_duties(duties, record.clone());
    store.put("op/config", &config());
    let start =
        |i: usize| Worker::start(&format!("i-7f3a91c{i}"), "order-desk", ZONE, &store, record);
    let _workers: Vec<_> = (0..3).map(start).collect();
    let mut instances = Vec::new();
    for i in 1..=3 {
        let name = format!("front-{ZONE}-{i}");
        let at = (&*store_address, &*duties_address);
        let Some(instance) = Instance::start(root, folder, (&name, ZONE), at, &SAVIKODA, record)
        else {
            return Outcome::NotRun;
        };
        instances.push(instance);
    }
    thread::sleep(Duration::from_secs(6));
    // The next whole window.
    let window = millis() / WINDOW + 1;
    let end = (window + 1) * WINDOW;
    let (done, served) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
    let (stop, count) = (done.clone(), served.clone());
    let listens: Vec<String> = instances.iter().map(|i| i.listen.clone()).collect();
    let traffic = thread::spawn(move || {
        for n in 0.. {
            if stop.load(SeqCst) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
            let (listen, count) = (listens[n % listens.len()].clone(), count.clone());
            thread::spawn(move || {
                let served = call(&listen, &format!("n{n:04}")).is_ok_and(|s| s == 200);
                count.fetch_add(usize::from(served), SeqCst);
            });
        }
    });
    wait_until(end + COPY);
    let copy = store.copy();
    let copied = millis();
    record.line(&format!("window {window} ended {} ms ago", copied - end));
    // The holder reports the window.
    while !reports.lock().expect("not poisoned").contains_key(&window) {
        thread::sleep(Duration::from_millis(10));
        if millis() > end + 8000 {
            record.line("the window is not reported");
            return Outcome::NotRun;
        }
    }
    thread::sleep(Duration::from_millis(300));
    let (drill, kill) = (trouble && only != "kill", trouble && only != "drill");
    if drill {
        store.go_away();
        record.line(&format!("the store is away; its era is {}", store.era()));
    }
    let holder = reports.lock().expect("not poisoned")[&window][0].0.clone();
    let mut killed: Vec<_> = instances.iter_mut().filter(|i| all || i.name == holder).collect();
    if kill {
        killed.iter_mut().for_each(|i| i.kill(record));
    }
    thread::sleep(AWAY);
    if drill {
        store.come_back(&copy);
        record.line(&format!(
            "the store is back from a copy that is {} ms old; its era is {}",
            millis() - copied,
            store.era()
        ));
    }
    if kill && !killed.iter_mut().all(|i| i.start_again(record)) {
        return Outcome::NotRun;
    }
    wait_until(end + 11_000);
    done.store(true, SeqCst);
    let _ = traffic.join();
    thread::sleep(Duration::from_millis(200));
    record.line(&format!("clients: {} requests were served", served.load(SeqCst)));
    let mut broken = false;
    for (window, counts) in reports.lock().expect("not poisoned").iter() {
        let differ = counts.iter().any(|(_, c)| *c != counts[0].1);
        if differ {
            let texts: Vec<String> =
                counts.iter().map(|(holder, c)| format!("{c} by {holder}")).collect();
            record.line(&format!(
                "window {window} was reported with different counts: {}",
                texts.join(", ")
            ));
        }
        broken |= differ;
    }
    if broken { Outcome::Broken } else { Outcome::Held }
}
