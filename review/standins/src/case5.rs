//! Some callers name a model that the workers don't have. The workers answer 404, with a body and their
//! signature. All workers and machines are sound all the while.

use {
    crate::{
        http::{self, End, Request},
        machine::{Machine, wait_ready},
        platform::{Store, cloud},
        record::Record,
        worker::{Worker, answer},
    },
    std::{io::Write, net::TcpStream, path::Path, thread, time::Duration},
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"ask","host":"tiles.example","prefix":"/ask/","kind":"stream","timeoutMs":15000,"sloMs":100,"priority":1,"service":"oracle","attempts":2,"public":false,"resumable":true,"gapTargetMs":150},
{"name":"match","host":"tiles.example","prefix":"/match/","kind":"stream","timeoutMs":2000,"sloMs":120,"priority":0,"service":"oracle","attempts":1,"public":false,"resumable":false,"gapTargetMs":150},
{"name":"read","host":"tiles.example","prefix":"/read/","kind":"safe","timeoutMs":2000,"sloMs":300,"priority":2,"service":"oracle","attempts":2,"public":false}],
"services":[{"name":"oracle","healthPath":"/health","maxConns":140,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"huka270","apiKeys":["2b9wu3fexd9dnn2ctnfz"],"priority":1}]}"#;
const SEAL: &str = "Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
const NO_MODEL: &str = r#"{"error":"there is no such model"}"#;
const EVENTS: &str = "id: 1\ndata: match\n\nid: 2\ndata: end\n\n";

fn serve(record: &Record, worker: &str, request: &Request, io: &TcpStream) -> bool {
    let id = request.header("request-id");
    if request.path == "/health" {
        return answer(io, request, "200 OK", &format!("Instance-Id: {worker}\r\n"), b"");
    }
    thread::sleep(Duration::from_millis(5));
    if request.header("model") != "m" {
        record.line(format!("worker {worker} answers {id} with 404, {} bytes", NO_MODEL.len()));
        let more = format!("{SEAL}Content-Type: application/json\r\n");
        return answer(io, request, "404 Not Found", &more, NO_MODEL.as_bytes());
    }
    record.line(format!("worker {worker} answers {id} with 200"));
    answer(io, request, "200 OK", SEAL, EVENTS.as_bytes())
}

/// Sends two requests over one connection; returns how the second one ended.
fn ask(record: &Record, machine: &Machine, path: &str, model: &str, id: &str) -> &'static str {
    let text = |id: &str, path: &str, model: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: tiles.example\r\nRequest-Id: {id}\r\nModel: {model}\r\nToken-Counts: 140,80\r\nPrompt-Prefix: 5c1e07a2:40,{id}:100\r\nDeadline-Ms: 2000\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        )
    };
    let Ok(io) = TcpStream::connect(machine.listen) else { return "no connection" };
    let _ = (io.set_nodelay(true), io.set_read_timeout(Some(Duration::from_secs(3))));
    let mut reader = std::io::BufReader::new(&io);
    let first = format!("{id}a");
    let _ = (&io).write_all(text(&first, "/read/1", "m").as_bytes());
    match http::read_response(&mut reader) {
        Some(r) if r.status == 200 && r.end == End::Complete => {}
        other => {
            record.line(format!("{first}: {:?}", other.map(|r| r.status)));
            return "the first request of the connection was not served";
        }
    }
    let second = format!("{id}b");
    let _ = (&io).write_all(text(&second, path, model).as_bytes());
    let due = if model == "m" { (200, EVENTS) } else { (404, NO_MODEL) };
    let got = http::read_response(&mut reader);
    let shown =
        got.as_ref().map(|r| (r.status, r.end, String::from_utf8_lossy(&r.body).into_owned()));
    record
        .line(format!("client of {}: {second} on {path}, model {model}: {shown:?}", machine.name));
    match got {
        Some(r)
            if r.end == End::Complete
                && (r.status, r.body.as_slice()) == (due.0, due.1.as_bytes()) =>
        {
            "answered as the worker did"
        }
        Some(r) if r.end == End::Complete && [429, 503].contains(&r.status) => "refused",
        Some(r) if r.end == End::Complete => "another answer",
        Some(_) | None => "closed without a complete answer",
    }
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Option<bool> {
    let store = Store::default();
    let (address, cloud) = (store.serve(), cloud());
    store.lock().put("op/config", CONFIG.as_bytes(), 0);
    let mut workers = Vec::new();
    for n in 1..=4 {
        let (name, log) = (format!("i-worker{n}"), record.clone());
        let own = name.clone();
        let worker = Worker::start(&name, move |request, io| serve(&log, &own, request, io));
        let entry = format!(
            r#"{{"service":"oracle","address":"{}","zone":"harju-a","version":"v1","slots":16,"state":"ready","coldLeftMs":0,"seq":1,"born":1790000000000}}"#,
            worker.address
        );
        store.lock().put(&format!("servers/{name}"), entry.as_bytes(), 0);
        workers.push(worker);
    }
    let machines: Vec<Machine> = ["front-a-1", "front-a-2"]
        .iter()
        .map(|name| Machine::new(name, "harju-a", folder, address, cloud))
        .collect();
    machines.iter().for_each(Machine::start);
    if !wait_ready(&machines, Duration::from_secs(20)) {
        return None;
    }
    thread::sleep(Duration::from_secs(6));
    record.say("the machines are ready; traffic begins");

    let mut closed = 0;
    let mut served = 0;
    for (path, rounds) in [("/read/1", 20), ("/match/1", 20), ("/ask/1", 20)] {
        let mut ends = std::collections::BTreeMap::<(&str, &str), u32>::new();
        for n in 0..rounds {
            // One caller in four names the model that there is not.
            let model = if trouble && n % 4 == 3 { "former" } else { "m" };
            let id = format!("{}{n}x", &path[1..2]);
            for machine in &machines {
                let end = ask(record, machine, path, model, &format!("{id}{}", machine.name));
                *ends.entry((model, end)).or_default() += 1;
                thread::sleep(Duration::from_millis(100));
            }
        }
        for ((model, end), count) in ends {
            record.say(format!("{path}, model {model}: {count} {end}"));
            closed += if end == "closed without a complete answer" { count } else { 0 };
            served += if end == "answered as the worker did" { count } else { 0 };
        }
    }
    record.say(format!(
        "{closed} requests of kept connections were passed on to a sound worker, and their connection was closed without a complete answer (the rule allows 3)"
    ));
    for machine in machines.iter().filter(|m| m.ended()) {
        record.say(format!("{} ended by itself", machine.name));
    }
    (served > 0).then_some(closed <= 3)
}
