//! TLS for clients: responses, certificate reload, invalid certificates, exposed keys, stalled
//! handshakes.

mod support;

use {
    agate_cli::demo::Demo,
    agate_flow::{
        server::HttpServer,
        tls::{Error, Files, ReloadResult, Tls},
    },
    rstest::rstest,
    rustls::{
        ClientConfig, RootCertStore,
        crypto::ring,
        pki_types::{CertificateDer, ServerName, pem::PemObject},
    },
    std::{
        fs::{self, Permissions},
        net::{IpAddr, SocketAddr},
        os::unix::fs::PermissionsExt,
        path::PathBuf,
        sync::Arc,
    },
    support::{HttpRequest, expected_text, model_request, start, wait_until},
    tokio::net::TcpStream,
    tokio_rustls::{TlsConnector, client::TlsStream},
};

const FIRST: (&str, &str) =
    (include_str!("support/tls/first.crt"), include_str!("support/tls/first.key"));
const SECOND: (&str, &str) =
    (include_str!("support/tls/second.crt"), include_str!("support/tls/second.key"));
/// Clients that open a connection and never start the handshake.
const STALLED_CLIENTS: usize = 300;

/// A directory with a certificate and its key; removed on drop.
struct CertificateFiles(PathBuf);

impl CertificateFiles {
    fn write(pem: (&str, &str)) -> Self {
        let path = std::env::temp_dir().join(format!("agate-tls-{:016x}", rand::random::<u64>()));
        fs::create_dir(&path).expect("a new directory");
        let out = Self(path);
        out.replace(pem);
        out.set_key_mode(0o600);
        out
    }

    fn replace(&self, (certificate, key): (&str, &str)) {
        let Files { certificate: at, key: key_at } = self.files();
        fs::write(at, certificate).expect("a file in the directory");
        fs::write(key_at, key).expect("a file in the directory");
    }

    fn set_key_mode(&self, mode: u32) {
        fs::set_permissions(self.files().key, Permissions::from_mode(mode)).expect("own file");
    }

    fn files(&self) -> Files {
        Files { certificate: self.0.join("front.crt"), key: self.0.join("front.key") }
    }
}

impl Drop for CertificateFiles {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A demo whose first instance also listens for TLS.
struct System {
    demo: Demo,
    server: HttpServer,
    pem: CertificateFiles,
}

async fn system() -> System {
    let (demo, pem) = (start(1, |_| {}).await, CertificateFiles::write(FIRST));
    let tls = Tls::open(pem.files()).expect("a sound pair");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(any, demo.instances[0].proxy_state.clone(), Some(tls)).await;
    System { server: server.expect("a free port"), demo, pem }
}

impl System {
    /// Opens a TLS connection that trusts only `certificate`.
    async fn connect(&self, certificate: &str) -> std::io::Result<TlsStream<TcpStream>> {
        let mut roots = RootCertStore::empty();
        roots.add(CertificateDer::from_pem_slice(certificate.as_bytes()).unwrap()).unwrap();
        let provider = Arc::new(ring::default_provider());
        let versions = ClientConfig::builder_with_provider(provider);
        let versions = versions.with_safe_default_protocol_versions().unwrap();
        let mut config = versions.with_root_certificates(roots).with_no_client_auth();
        config.alpn_protocols = vec![b"h2".to_vec(), b"http/1.1".to_vec()];
        let io = TcpStream::connect(self.server.address()).await?;
        let name = ServerName::from(IpAddr::from([127, 0, 0, 1]));
        TlsConnector::from(Arc::new(config)).connect(name, io).await
    }

    fn has_metric(&self, line: &str) -> bool {
        self.demo.instances[0].proxy_state.metrics.text().contains(line)
    }
}

#[tokio::test]
async fn encrypted_response() {
    let system = system().await;
    let io = system.connect(FIRST.0).await.expect("a handshake");
    assert_eq!(io.get_ref().1.alpn_protocol(), Some(&b"http/1.1"[..]));
    let response = model_request("a question", 300, true).send_over(io).await;
    assert!(
        response.is_complete_stream() && response.text() == expected_text("a question", 300),
        "{}",
        response.body
    );
    assert!(system.has_metric("agatetrack_handshakes_total{result=\"done\"} 1"));
}

/// An unencrypted request must get no response and must not be executed.
#[tokio::test]
async fn plaintext_request() {
    let system = system().await;
    let mut io = TcpStream::connect(system.server.address()).await.expect("accepted");
    let sent = b"GET /catalogue/1 HTTP/1.1\r\nhost: x\r\n\r\n";
    tokio::io::AsyncWriteExt::write_all(&mut io, sent).await.expect("sent");
    wait_until("refused", || system.has_metric("agatetrack_handshakes_total{result=\"failed\"} 1"))
        .await;
    assert!(system.has_metric("agatetrack_requests_total 0"));
}

#[tokio::test]
async fn certificate_reload() {
    let system = system().await;
    let old = system.connect(FIRST.0).await.expect("a handshake");
    system.pem.replace(SECOND);
    // The listener checks its files periodically.
    wait_until("the certificate is in force", || {
        system.has_metric("agatetrack_certificates_total{result=\"loaded\"} 1")
    })
    .await;
    assert!(system.connect(FIRST.0).await.is_err());
    let new = system.connect(SECOND.0).await.expect("a handshake");
    for io in [old, new] {
        let response =
            HttpRequest::new("GET", "/catalogue/1", "").without_key().send_over(io).await;
        assert_eq!(response.status, 200);
    }
}

#[rstest]
#[case::garbage(("no certificate", FIRST.1))]
#[case::other_key((FIRST.0, SECOND.1))]
#[tokio::test]
async fn invalid_certificate(#[case] bad: (&str, &str)) {
    let system = system().await;
    system.pem.replace(bad);
    system.server.reload();
    assert!(system.has_metric("agatetrack_certificates_total{result=\"refused\"} 1"));
    system.connect(FIRST.0).await.expect("the old certificate is in force");
    system.pem.replace(SECOND);
    system.server.reload();
    system.connect(SECOND.0).await.expect("the new certificate is in force");
}

#[rstest]
#[case::group(0o640)]
#[case::everyone(0o604)]
fn exposed_key(#[case] mode: u32) {
    let pem = CertificateFiles::write(FIRST);
    let tls = Tls::open(pem.files()).expect("a sound pair");
    pem.set_key_mode(mode);
    let error = Tls::open(pem.files()).err().expect("a refusal");
    assert!(
        matches!(&error, Error::Exposed { file, mode: m } if *file == pem.files().key && *m == mode)
    );
    assert!(error.to_string().contains(&format!("{mode:04o}")), "{error}");
    assert!(tls.reload().is_err());
    pem.set_key_mode(0o600);
    assert_eq!(tls.reload().expect("a sound pair"), ReloadResult::Same);
}

/// Clients that never start their handshake must not block other clients.
#[tokio::test]
async fn stalled_handshakes() {
    let system = system().await;
    let mut held = Vec::new();
    for _ in 0..STALLED_CLIENTS {
        held.push(TcpStream::connect(system.server.address()).await.expect("accepted"));
    }
    let io = system.connect(FIRST.0).await.expect("a handshake");
    let response = HttpRequest::new("GET", "/catalogue/1", "").without_key().send_over(io).await;
    assert_eq!(response.status, 200);
}
