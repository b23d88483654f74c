//! A bare HTTP caller that shows the bytes of the reply.
#![allow(dead_code)]

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Any loopback address.
pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Opens a connection and sends one request.
pub async fn send(to: SocketAddr, line: &str, headers: &str, body: &str) -> TcpStream {
    let mut conn = TcpStream::connect(to).await.unwrap();
    let n = body.len();
    let text = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {n}\r\n\r\n{body}"
    );
    conn.write_all(text.as_bytes()).await.unwrap();
    conn
}

/// Everything until the connection ends, and whether it ended in order.
pub async fn read(mut conn: TcpStream) -> String {
    let mut out = Vec::new();
    let _ = conn.read_to_end(&mut out).await;
    String::from_utf8(out).unwrap()
}

/// One whole exchange.
pub async fn call(to: SocketAddr, line: &str, headers: &str, body: &str) -> String {
    read(send(to, line, headers, body).await).await
}

/// Body of a model request with one user message.
pub fn chat(content: &str, tokens: u32, from: u32) -> String {
    serde_json::json!({
        "model": "glaze-oracle", "stream": true, "max_tokens": tokens, "resume_from": from,
        "messages": [{ "role": "user", "content": content }],
    })
    .to_string()
}

/// Concatenated token text of a stream.
pub fn content(reply: &str) -> String {
    let events = reply.lines().filter_map(|l| l.strip_prefix("data: {"));
    let values = events.map(|e| serde_json::from_str(&format!("{{{e}")).unwrap());
    let texts = values.map(|v: serde_json::Value| {
        v["choices"][0]["delta"]["content"].as_str().unwrap_or("").to_owned()
    });
    texts.collect()
}

/// Waits until `done` holds; fails after a bound that no healthy run comes near.
pub async fn until(mut done: impl FnMut() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.expect("condition came true");
}
