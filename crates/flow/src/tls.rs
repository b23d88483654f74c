//! TLS for the connections of callers: the certificate in force, its reload, and time-limited
//! handshakes.
//!
//! The configuration is an immutable value that is replaced as a whole (read-copy-update). A reload
//! replaces it only if the new files are valid, so a bad certificate does not interrupt service.
//! Open connections keep the configuration with which they began.

use {
    arc_swap::ArcSwap,
    rustls::{
        ServerConfig,
        crypto::ring,
        pki_types::{
            CertificateDer, PrivateKeyDer,
            pem::{self, PemObject},
        },
    },
    std::{
        fs, io,
        os::unix::fs::PermissionsExt,
        path::{Path, PathBuf},
        sync::{Arc, Mutex},
        time::Duration,
    },
    thiserror::Error,
    tokio::{net::TcpStream, sync::Semaphore, time::timeout},
    tokio_rustls::{TlsAcceptor, server::TlsStream},
};

/// Longest time of a handshake, including the wait for a permit.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(5);
/// Most concurrent handshakes; a connection counts from its first received byte.
const MAX_HANDSHAKES: usize = 1024;
/// Interval of the checks for changed certificate files.
pub const WATCH_PERIOD: Duration = Duration::from_secs(2);
/// Permission bits that give access to others than the file's owner.
const NON_OWNER_BITS: u32 = 0o077;
/// ALPN protocol offered to callers.
const PROTOCOL: &[u8] = b"http/1.1";

/// Paths of the certificate and its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Certificate chain in PEM form, the server's own certificate first.
    pub certificate: PathBuf,
    /// Private key in PEM form; only its owner may have access to the file.
    pub key: PathBuf,
}

/// Reason for which a certificate cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("reading {file}: {cause}")]
    Read {
        /// Path of the file.
        file: PathBuf,
        /// The operating system's error.
        cause: io::Error,
    },
    /// Others than its owner have access to the key file.
    #[error("{file} has mode {mode:04o}, so others may read it; accepted is mode 0600")]
    Exposed {
        /// Path of the file.
        file: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A file does not contain the expected item in PEM form.
    #[error("{file} holds no {what} in PEM form: {cause}")]
    Pem {
        /// Path of the file.
        file: PathBuf,
        /// Name of the expected item.
        what: &'static str,
        /// Error of the PEM decoder.
        cause: pem::Error,
    },
    /// The certificate and the key cannot be used together.
    #[error("{certificate} with {key}: {cause}")]
    Pair {
        /// Path of the certificate file.
        certificate: PathBuf,
        /// Path of the key file.
        key: PathBuf,
        /// Error of the TLS library.
        cause: rustls::Error,
    },
}

/// Result of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadResult {
    /// The files have not changed since they were last read.
    Same,
    /// The files changed; new connections use the new certificate.
    New,
}

/// Reason for which a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The time limit passed.
    #[error("the handshake took longer than {HANDSHAKE_LIMIT:?}")]
    Slow,
    /// The caller disconnected or sent no compatible TLS.
    #[error("{0}")]
    Broken(io::Error),
}

/// TLS configuration of one listener.
pub struct Tls {
    files: Files,
    config: ArcSwap<ServerConfig>,
    /// Digest of the files that were read last, valid or not.
    last_digest: Mutex<blake3::Hash>,
    permits: Semaphore,
}

impl Tls {
    /// Reads the certificate and its key.
    ///
    /// Errors: a file cannot be read, is accessible to others, or its contents are invalid.
    pub fn open(files: Files) -> Result<Arc<Self>, Error> {
        let pems = PemFiles::read(&files)?;
        let config = ArcSwap::from_pointee(pems.config(&files)?);
        let (last_digest, permits) = (Mutex::new(pems.digest()), Semaphore::new(MAX_HANDSHAKES));
        Ok(Arc::new(Self { files, config, last_digest, permits }))
    }

    /// Reads the files and uses them for new connections if they changed.
    ///
    /// Errors: those of [`Tls::open`]; the old certificate then stays in force.
    pub fn reload(&self) -> Result<ReloadResult, Error> {
        let pems = PemFiles::read(&self.files)?;
        let digest = pems.digest();
        let mut last_digest = self.last_digest.lock().expect("no panic while reading certificates");
        if *last_digest == digest {
            return Ok(ReloadResult::Same);
        }
        *last_digest = digest;
        self.config.store(Arc::new(pems.config(&self.files)?));
        Ok(ReloadResult::New)
    }

    /// Performs the handshake on a new connection.
    ///
    /// Errors: the time limit passed, or the caller disconnected or sent no compatible TLS.
    pub async fn accept(&self, io: TcpStream) -> Result<TlsStream<TcpStream>, HandshakeError> {
        let handshake = async {
            // A caller that sends nothing does not hold a permit.
            io.readable().await?;
            let _permit = self.permits.acquire().await.expect("the semaphore is never closed");
            TlsAcceptor::from(self.config.load_full()).accept(io).await
        };
        match timeout(HANDSHAKE_LIMIT, handshake).await {
            Ok(done) => done.map_err(HandshakeError::Broken),
            Err(_) => Err(HandshakeError::Slow),
        }
    }
}

/// Checks that the files can be used.
///
/// Errors: those of [`Tls::open`].
pub fn check(files: &Files) -> Result<(), Error> {
    PemFiles::read(files)?.config(files).map(drop)
}

/// Contents of the certificate file and the key file.
struct PemFiles {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl PemFiles {
    fn read(files: &Files) -> Result<Self, Error> {
        let fail = |file: &Path| {
            let file = file.to_owned();
            move |cause| Error::Read { file, cause }
        };
        let meta = fs::metadata(&files.key).map_err(fail(&files.key))?;
        let mode = meta.permissions().mode() & 0o7777;
        if mode & NON_OWNER_BITS != 0 {
            return Err(Error::Exposed { file: files.key.clone(), mode });
        }
        let certificate = fs::read(&files.certificate).map_err(fail(&files.certificate))?;
        let key = fs::read(&files.key).map_err(fail(&files.key))?;
        Ok(Self { certificate, key })
    }

    fn digest(&self) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new();
        hasher.update(blake3::hash(&self.certificate).as_bytes());
        hasher.update(&self.key);
        hasher.finalize()
    }

    fn config(&self, files: &Files) -> Result<ServerConfig, Error> {
        let chain = self.chain().map_err(|cause| {
            let file = files.certificate.clone();
            Error::Pem { file, what: "certificate", cause }
        })?;
        let key = PrivateKeyDer::from_pem_slice(&self.key).map_err(|cause| {
            let file = files.key.clone();
            Error::Pem { file, what: "private key", cause }
        })?;
        let pair = |cause| {
            let (certificate, key) = (files.certificate.clone(), files.key.clone());
            Error::Pair { certificate, key, cause }
        };
        let provider = Arc::new(ring::default_provider());
        let versions = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(pair)?;
        let mut config =
            versions.with_no_client_auth().with_single_cert(chain, key).map_err(pair)?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(config)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, pem::Error> {
        let chain: Vec<_> =
            CertificateDer::pem_slice_iter(&self.certificate).collect::<Result<_, _>>()?;
        if chain.is_empty() { Err(pem::Error::NoItemsFound) } else { Ok(chain) }
    }
}
