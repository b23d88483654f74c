//! Minimal HTTP client that returns the raw bytes of responses.
#![allow(dead_code)]

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Loopback address with an ephemeral port.
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

/// Reads until the connection ends, whether closed or reset.
pub async fn read(mut conn: TcpStream) -> String {
    let mut out = Vec::new();
    let _ = conn.read_to_end(&mut out).await;
    String::from_utf8(out).unwrap()
}

/// Sends a request and returns the raw response.
pub async fn call(to: SocketAddr, line: &str, headers: &str, body: &str) -> String {
    read(send(to, line, headers, body).await).await
}

/// JSON body of a streamed chat request with one user message.
pub fn chat(content: &str, tokens: u32, from: u32) -> String {
    serde_json::json!({
        "model": "glaze-oracle", "stream": true, "max_tokens": tokens, "resume_from": from,
        "messages": [{ "role": "user", "content": content }],
    })
    .to_string()
}

/// Concatenated token texts of a streamed response.
pub fn content(response: &str) -> String {
    let events = response.lines().filter_map(|l| l.strip_prefix("data: {"));
    let values = events.map(|e| serde_json::from_str(&format!("{{{e}")).unwrap());
    let texts = values.map(|v: serde_json::Value| {
        v["choices"][0]["delta"]["content"].as_str().unwrap_or("").to_owned()
    });
    texts.collect()
}

/// Waits until `done` returns true. Panics after 20 s, far longer than a successful run needs.
pub async fn wait_until(mut done: impl FnMut() -> bool) {
    let wait = async {
        while !done() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.expect("the condition becomes true");
}
