//! Connection faults of the proxy in front of a stand-in.

mod common;

use {
    agate_standin::{FaultProxy, Service},
    common::{any, call, send, wait_until},
    rstest::rstest,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// A stalled connection forwards nothing, not even its end, while a new one works.
#[tokio::test]
async fn stalled_connection() {
    let service = Service::bind(any(), "desk").await.unwrap();
    let mut old = TcpStream::connect(service.address()).await.unwrap();
    wait_until(|| service.proxy().accepted() == 1).await;
    service.proxy().stall_open();
    old.write_all(b"GET /old HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    assert!(call(service.address(), "GET /new", "", "").await.contains("/new"));
    assert!(service.log().iter().all(|e| e.path == "/new"));
    let mut byte = [0];
    let read = tokio::time::timeout(Duration::from_millis(50), old.read(&mut byte)).await;
    assert!(read.is_err(), "neither bytes nor the end of the connection arrive");
}

/// Response bytes are cut off or added.
#[rstest]
#[case::cut(|t: &FaultProxy| t.set(|f| f.cut_after = Some(20)), "HTTP/1.1 200 OK\r\ncon")]
#[case::append(|t: &FaultProxy| t.set(|f| f.append = b"HTTP/9".to_vec()), "}HTTP/9")]
#[tokio::test]
async fn altered_bytes(#[case] fault: fn(&FaultProxy), #[case] tail: &str) {
    let service = Service::bind(any(), "desk").await.unwrap();
    fault(service.proxy());
    let response = call(service.address(), "GET /a", "", "").await;
    assert!(response.ends_with(tail), "{response}");
}

/// A proxy that refuses connections keeps its port bound.
#[tokio::test]
async fn refused_connection() {
    let service = Service::bind(any(), "desk").await.unwrap();
    let conn = send(service.address(), "GET /a", "", "").await;
    service.proxy().refuse();
    drop(common::read(conn).await);
    wait_until(|| std::net::TcpStream::connect(service.address()).is_err()).await;
    let rebind = TcpListener::bind(service.address()).await;
    assert!(rebind.is_err(), "the port stays bound");
    service.proxy().accept();
    wait_until(|| std::net::TcpStream::connect(service.address()).is_ok()).await;
}

/// Held back bytes are forwarded once the fault is cleared.
#[tokio::test]
async fn stalled_bytes() {
    let service = Service::bind(any(), "desk").await.unwrap();
    service.proxy().set(|f| f.stall = true);
    let conn = send(service.address(), "GET /a", "", "").await;
    wait_until(|| service.proxy().accepted() == 1).await;
    assert!(service.log().is_empty());
    service.proxy().set(|f| f.stall = false);
    assert!(common::read(conn).await.contains("/a"));
}
