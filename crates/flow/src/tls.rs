//! TLS towards callers: the certificate in force, its reload, and bounded handshakes.
//!
//! The server's configuration is an immutable value behind read-copy-update. A reload replaces it
//! only if the new files are sound, so a bad certificate never ends service; connections that are
//! open keep the one they began with.

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

/// Longest time of a handshake, the wait for its turn included.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(5);
/// Most handshakes carried out at once; a connection counts from its first byte on.
const HANDSHAKES: usize = 1024;
/// Time between two looks at the files.
pub const WATCH_PERIOD: Duration = Duration::from_secs(2);
/// Permission bits of a file that others than its owner may use.
const OTHERS: u32 = 0o077;
/// Protocol that callers may negotiate.
const PROTOCOL: &[u8] = b"http/1.1";

/// Where the certificate and its key are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Files {
    /// Certificate chain in PEM form, the server's own certificate first.
    pub certificate: PathBuf,
    /// Private key in PEM form; only its owner may read it.
    pub key: PathBuf,
}

/// Why a certificate cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("reading {file}: {cause}")]
    Read {
        /// The file.
        file: PathBuf,
        /// The operating system's error.
        cause: io::Error,
    },
    /// Others than its owner may use the key file.
    #[error("{file} has mode {mode:04o}, so others may read it; accepted is mode 0600")]
    Exposed {
        /// The file.
        file: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// A file does not hold what it should, in PEM form.
    #[error("{file} holds no {what} in PEM form: {cause}")]
    Pem {
        /// The file.
        file: PathBuf,
        /// What was looked for.
        what: &'static str,
        /// Error of the decoder.
        cause: pem::Error,
    },
    /// The certificate and the key cannot be used together.
    #[error("{certificate} with {key}: {cause}")]
    Pair {
        /// Certificate file.
        certificate: PathBuf,
        /// Key file.
        key: PathBuf,
        /// Error of the TLS library.
        cause: rustls::Error,
    },
}

/// What a look at the files led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loaded {
    /// The files are those that were read last.
    Same,
    /// New connections use the new certificate.
    New,
}

/// Why a handshake came to nothing.
#[derive(Debug, Error)]
pub enum Failed {
    /// It took too long.
    #[error("the handshake took longer than {HANDSHAKE_LIMIT:?}")]
    Slow,
    /// The caller spoke no TLS that fits, or left.
    #[error("{0}")]
    Broken(io::Error),
}

/// TLS of one listener.
pub struct Tls {
    files: Files,
    config: ArcSwap<ServerConfig>,
    /// Digest of the files that were read last, sound or not.
    seen: Mutex<blake3::Hash>,
    turns: Semaphore,
}

impl Tls {
    /// Reads the certificate and its key.
    ///
    /// Errors: what is wrong with which file.
    pub fn open(files: Files) -> Result<Arc<Self>, Error> {
        let pems = Pems::read(&files)?;
        let config = ArcSwap::from_pointee(pems.config(&files)?);
        let (seen, turns) = (Mutex::new(pems.digest()), Semaphore::new(HANDSHAKES));
        Ok(Arc::new(Self { files, config, seen, turns }))
    }

    /// Reads the files again if they changed; the old certificate stays in force on an error.
    pub fn reload(&self) -> Result<Loaded, Error> {
        let pems = Pems::read(&self.files)?;
        let digest = pems.digest();
        let mut seen = self.seen.lock().expect("no panic while reading certificates");
        if *seen == digest {
            return Ok(Loaded::Same);
        }
        *seen = digest;
        self.config.store(Arc::new(pems.config(&self.files)?));
        Ok(Loaded::New)
    }

    /// Carries out the handshake on a new connection.
    pub async fn accept(&self, io: TcpStream) -> Result<TlsStream<TcpStream>, Failed> {
        let handshake = async {
            // A caller that sends nothing takes no turn from others.
            io.readable().await?;
            let _turn = self.turns.acquire().await.expect("the semaphore is never closed");
            TlsAcceptor::from(self.config.load_full()).accept(io).await
        };
        match timeout(HANDSHAKE_LIMIT, handshake).await {
            Ok(done) => done.map_err(Failed::Broken),
            Err(_) => Err(Failed::Slow),
        }
    }
}

/// Checks that the files can be used, as [`Tls::open`] does.
pub fn check(files: &Files) -> Result<(), Error> {
    Pems::read(files)?.config(files).map(drop)
}

/// Contents of the two files.
struct Pems {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl Pems {
    fn read(files: &Files) -> Result<Self, Error> {
        let fail = |file: &Path| {
            let file = file.to_owned();
            move |cause| Error::Read { file, cause }
        };
        let meta = fs::metadata(&files.key).map_err(fail(&files.key))?;
        let mode = meta.permissions().mode() & 0o7777;
        if mode & OTHERS != 0 {
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
