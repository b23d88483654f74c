//! Bytes that a read of an engine's state and an order cost, as a forwarder before a stand-in engine
//! counts them, without the headers of TCP and IP.

use {
    agate_ctl::Verb,
    agate_order::{Order, Outcome, give, read},
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
const LIFE: Duration = Duration::from_secs(3);

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (role, order_time) = ("decode".into(), Duration::ZERO);
    let settings = EngineSettings { role, order_time, ..EngineSettings::default() };
    let engine = Engine::bind(any, settings).await?;
    let listener = TcpListener::bind(any).await?;
    let address = listener.local_addr()?;
    let bytes = Arc::<AtomicU64>::default();
    tokio::spawn(forward(listener, engine.address(), bytes.clone()));

    for _ in 0..CALLS {
        read(address, LIFE).await?;
    }
    let reads = bytes.swap(0, SeqCst);
    for number in 0..CALLS {
        let order = Order { id: format!("roles/pool/0/1.{number}"), fence: 1, verb: Verb::Drain };
        let outcome = give(address, &order, LIFE, Arc::new(|| true)).await;
        assert!(matches!(outcome, Outcome::Done), "{outcome:?}");
    }
    let orders = bytes.swap(0, SeqCst);
    println!("bytes a read, in and out: {}", reads / CALLS);
    println!("bytes an order, in and out: {}", orders / CALLS);
    Ok(())
}

async fn forward(listener: TcpListener, to: SocketAddr, bytes: Arc<AtomicU64>) -> io::Result<()> {
    loop {
        let (near, _) = listener.accept().await?;
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = TcpStream::connect(to).await?.into_split();
        tokio::spawn(pump(near_in, far_out, bytes.clone()));
        tokio::spawn(pump(far_in, near_out, bytes.clone()));
    }
}

async fn pump(
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
