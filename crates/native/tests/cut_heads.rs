//! Responses of the platform that end inside their heads.

use {
    agate_native::http::Http,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const LIMIT: Duration = Duration::from_secs(5);
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n";

async fn serve(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = io.read(&mut [0; 4_096]).await?;
                io.write_all(text.as_bytes()).await?;
                io.shutdown().await
            });
        }
    });
    address
}

/// Wherever a head ends, the call has failed.
#[tokio::test]
async fn each_position() {
    for end in 0..HEAD.len() {
        let called = Http::open(serve(&HEAD[..end]).await).get("/store/v1/key?key=k", LIMIT).await;
        assert!(called.is_err(), "{called:?} after {:?}", &HEAD[..end]);
    }
}
