//! Measures the processor time and memory that a request, a token and an open stream cost one
//! instance.
//!
//! Starts the stand-ins and one instance as processes of the built binary, sends bounded numbers of
//! model requests over loopback, and prints the instance's processor time and memory. Run after
//! `cargo build --release`: `cargo run --release -p agate-cli --example path_cost`.

use {
    agate_cli::demo::read,
    eyre::{Result, WrapErr, eyre},
    futures_util::{StreamExt, stream},
    std::{
        fs,
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        path::Path,
        process::{Child, Command, Stdio},
        time::Duration,
    },
    tokio::io::{AsyncReadExt, AsyncWriteExt},
};

/// Processor ticks per second, as Linux reports them in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Concurrent requests.
const CONCURRENCY: usize = 64;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE: usize = 16 << 20;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process and waits until it logs a line containing `mark` and its address.
fn start(args: &[&str], mark: &str) -> Result<(Process, SocketAddr)> {
    let binary = std::env::current_exe()?;
    let binary = binary.ancestors().nth(2).ok_or_else(|| eyre!("no build directory"))?;
    let mut child = Command::new(binary.join("agatetrack"))
        .args(args)
        .env("NO_COLOR", "1")
        .stderr(Stdio::piped())
        .spawn()
        .wrap_err("starting the binary; build it first")?;
    let log = child.stderr.take().ok_or_else(|| eyre!("no log"))?;
    let process = Process(child);
    let mut lines = BufReader::new(log).lines();
    while let Some(Ok(line)) = lines.next() {
        let address = line.split_whitespace().find_map(|w| w.parse().ok());
        if let Some(address) = address.filter(|_| line.contains(mark)) {
            std::thread::spawn(move || for _ in lines {});
            return Ok((process, address));
        }
    }
    Err(eyre!("the process ended early"))
}

/// Processor time in seconds and resident memory in kilobytes of a process.
fn cost(process: &Process) -> Result<(f64, u64)> {
    let id = process.0.id();
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
    let memory = line.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok((ticks / TICKS_PER_SECOND, memory))
}

fn request_text(tokens: u32) -> String {
    let body = format!(
        "{{\"model\":\"tile-match\",\"stream\":true,\"max_tokens\":{tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"does it match?\"}}]}}"
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
         authorization: Bearer demo-palmse-key\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn send_request(to: SocketAddr, tokens: u32) -> bool {
    let exchange = async {
        let mut io = tokio::net::TcpStream::connect(to).await.ok()?;
        io.write_all(request_text(tokens).as_bytes()).await.ok()?;
        let mut out = Vec::new();
        io.take(MAX_RESPONSE as u64).read_to_end(&mut out).await.ok()?;
        Some(String::from_utf8_lossy(&out).contains("[DONE]"))
    };
    exchange.await.unwrap_or(false)
}

async fn send_batch(to: SocketAddr, requests: usize, tokens: u32) -> usize {
    let requests_sent =
        stream::iter(0..requests).map(|_| send_request(to, tokens)).buffer_unordered(CONCURRENCY);
    requests_sent.filter(|whole| std::future::ready(*whole)).count().await
}

/// Opens `count` streams and returns their connections.
fn open_streams(to: SocketAddr, count: usize) -> Result<Vec<TcpStream>> {
    let mut out = Vec::new();
    for _ in 0..count {
        let mut io = TcpStream::connect(to)?;
        io.set_read_timeout(Some(Duration::from_secs(10)))?;
        io.write_all(request_text(2000).as_bytes())?;
        let mut first = [0; 16];
        io.read_exact(&mut first)?;
        out.push(io);
    }
    Ok(out)
}

#[tokio::main]
async fn main() -> Result<()> {
    let free = "127.0.0.1:0";
    let (_platform, platform) = start(&["standin", "platform", "--listen", free], "listens on")?;
    let mut document = read(None)?;
    document.fleet.pools["glaze-oracle"].slots = 400;
    let mut endpoints = Vec::new();
    for endpoint in document.fleet.endpoints.values_mut() {
        if endpoint.pool == "glaze-oracle" {
            let args =
                ["standin", "engine", "--listen", free, "--model", "tile-match", "--slots", "400"];
            let (engine, address) = start(&args, "listens on")?;
            endpoints.push(engine);
            endpoint.address = address;
        } else {
            let (process, address) =
                start(&["standin", "service", "--listen", free], "listens on")?;
            endpoints.push(process);
            endpoint.address = address;
        }
    }
    let files = std::env::temp_dir().join(format!("agatetrack-cost-{:08x}", rand::random::<u32>()));
    fs::create_dir(&files)?;
    let address = apply(&files, &document, platform)?;
    let (instance, callers) = start(&["serve", "--settings", &address], "serves callers at")?;
    println!("| requests | tokens each | whole | CPU s | CPU µs a request | memory MB |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: |");
    send_batch(callers, 200, 10).await;
    for (requests, tokens) in [(4000, 1), (4000, 50), (4000, 100), (2000, 200), (1000, 400)] {
        let before = cost(&instance)?;
        let whole = send_batch(callers, requests, tokens).await;
        let after = cost(&instance)?;
        let spent = after.0 - before.0;
        let each = spent * 1e6 / requests as f64;
        let memory = after.1 as f64 / 1024.0;
        println!("| {requests} | {tokens} | {whole} | {spent:.2} | {each:.0} | {memory:.1} |");
    }
    println!("\n| open streams | memory MB |\n| ---: | ---: |");
    for count in [0, 200, 400, 800] {
        let streams = tokio::task::spawn_blocking(move || open_streams(callers, count)).await??;
        println!("| {count} | {:.1} |", cost(&instance)?.1 as f64 / 1024.0);
        drop(streams);
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let before = cost(&instance)?;
    tokio::time::sleep(Duration::from_secs(20)).await;
    let after = cost(&instance)?;
    println!("\nidle: {:.2}% of a core, {} KB", (after.0 - before.0) / 0.2, after.1);
    fs::remove_dir_all(files)?;
    Ok(())
}

fn apply(files: &Path, document: &agate_config::Document, platform: SocketAddr) -> Result<String> {
    let path = files.join("document.yaml");
    fs::write(&path, serde_saphyr::to_string(document)?)?;
    let binary = std::env::current_exe()?;
    let binary = binary.ancestors().nth(2).ok_or_else(|| eyre!("no build directory"))?;
    let applied = Command::new(binary.join("agatetrack"))
        .args(["config", "apply", path.to_str().unwrap_or(""), "--platform"])
        .arg(platform.to_string())
        .output()?;
    if !applied.status.success() {
        return Err(eyre!("{}", String::from_utf8_lossy(&applied.stderr)));
    }
    let settings = format!(
        "name: entry-1\nzone: harju-a\nregion: harju\nlisten: 127.0.0.1:0\n\
         operator: 127.0.0.1:0\nplatform: {platform}\nlog: {{level: warn, agate_cli=info}}\n"
    );
    let path = files.join("settings.yaml");
    let settings =
        settings.replace("{level: warn, agate_cli=info}", "{level: \"warn, agate_cli=info\"}");
    fs::write(&path, settings)?;
    Ok(path.to_str().unwrap_or("").to_owned())
}
