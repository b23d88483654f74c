//! Measures the cost of one request between instances, over pooled connections and over a new
//! connection for each request.
//!
//! Run with `cargo run --release -p agate-member --example peer_cost`. Client and server run in
//! this process, over loopback. Requests and responses have about the size of a batch of ten claims.

use {
    agate_member::{Answer, Client, Identity, Keys, Query, Server, serve},
    futures_util::future::{FutureExt, join_all, ready},
    std::{
        fs,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// Requests for each row of the table.
const REQUESTS: usize = 20_000;
/// Bytes of a request's content.
const CONTENT: usize = 700;
/// Bytes of a response's content.
const ANSWER: usize = 20;

/// Returns the time that all threads of this process have spent on a core.
fn core_time() -> Duration {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let spent = tasks.filter_map(|t| {
        let text = fs::read_to_string(t.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(spent.sum())
}

fn keys() -> Keys {
    Keys::new(&["the secret of the fleet"]).expect("the secret is long enough")
}

async fn server() -> (Server, SocketAddr) {
    let probe = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = probe.local_addr().expect("it is bound");
    drop(probe);
    let id = Arc::new(Identity::new("server".into(), address, 1));
    let response = |_, _| ready(Answer::Bytes(vec![0; ANSWER])).boxed();
    (serve(id, keys(), response).await.expect("the port is still free"), address)
}

/// Makes all requests, `width` at a time.
async fn run(client: &Client, to: SocketAddr, width: usize) {
    let work = (0..width).map(|_| async {
        for _ in 0..REQUESTS / width {
            let query = Query::Other { topic: "claims".into(), bytes: vec![0; CONTENT] };
            client.fetch(to, query).await.expect("the server responds");
        }
    });
    join_all(work).await;
}

#[tokio::main]
async fn main() {
    let (_server, to) = server().await;
    println!("| connections | at a time | µs a request | µs on a core | opened |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    for width in [1, 8] {
        for (kind, name) in [(Client::unpooled as fn(_, _) -> _, "own"), (Client::new, "kept")] {
            let id = Identity::new(format!("client-{name}-{width}").into(), to, 1);
            let client: Client = kind(Arc::new(id), keys());
            let (start, core) = (Instant::now(), core_time());
            run(&client, to, width).await;
            let per = |d: Duration| d.as_micros() as f64 / REQUESTS as f64;
            let (took, core) = (per(start.elapsed()), per(core_time() - core));
            println!("| {name} | {width} | {took:.0} | {core:.0} | {} |", client.usage().0);
        }
    }
}
