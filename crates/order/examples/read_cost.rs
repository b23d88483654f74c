//! Measures the bytes that a read of an engine's state and an order transfer. A proxy in front of a
//! stand-in engine counts them; TCP and IP headers are not included.

use {
    agate_ctl::Verb,
    agate_order::{Order, Outcome, read, send_order},
    agate_standin::{Engine, EngineSettings},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering::SeqCst},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const CALLS: u64 = 1000;
const TIMEOUT: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (role, order_time) = ("decode".into(), Duration::ZERO);
    let settings = EngineSettings { role, order_time, ..EngineSettings::default() };
    let engine = Engine::bind(any, settings).await?;
    let listener = TcpListener::bind(any).await?;
    let address = listener.local_addr()?;
    let bytes = Arc::<AtomicU64>::default();
    tokio::spawn(run_proxy(listener, engine.address(), bytes.clone()));

    for _ in 0..CALLS {
        read(address, TIMEOUT).await?;
    }
    let reads = bytes.swap(0, SeqCst);
    for number in 0..CALLS {
        let order = Order { id: format!("roles/pool/0/1.{number}"), fence: 1, verb: Verb::Drain };
        let outcome = send_order(address, &order, TIMEOUT, Arc::new(|| true)).await;
        assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
    }
    let orders = bytes.swap(0, SeqCst);
    println!("bytes a read, in and out: {}", reads / CALLS);
    println!("bytes an order, in and out: {}", orders / CALLS);
    Ok(())
}

async fn run_proxy(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) -> io::Result<()> {
    loop {
        let (client, _) = listener.accept().await?;
        let (client_in, client_out) = client.into_split();
        let (engine_in, engine_out) = TcpStream::connect(to).await?.into_split();
        tokio::spawn(copy(client_in, engine_out, bytes.clone()));
        tokio::spawn(copy(engine_in, client_out, bytes.clone()));
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: Arc<AtomicU64>,
) -> io::Result<()> {
    let mut buf = [0; 4096];
    loop {
        let n = from.read(&mut buf).await?;
        if n == 0 {
            return to.shutdown().await;
        }
        bytes.fetch_add(n as u64, SeqCst);
        to.write_all(&buf[..n]).await?;
    }
}
