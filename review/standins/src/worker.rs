//! A worker: a listener that can crash and come back at its address.

use {
    crate::{
        http::{self, Request},
        sys,
    },
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        thread,
        time::Duration,
    },
};

/// Answers a request that the worker accepts; returns whether the connection stays open.
pub type Handler = dyn Fn(&Request, &TcpStream) -> bool + Send + Sync;

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    handler: Box<Handler>,
    up: AtomicBool,
    open: Mutex<Vec<Weak<TcpStream>>>,
}

impl Worker {
    pub fn start(
        name: &str,
        handler: impl Fn(&Request, &TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        Self::start_at(name, SocketAddr::from(([127, 0, 0, 1], 0)), handler)
    }

    /// Starts a worker at an address.
    pub fn start_at(
        name: &str,
        address: SocketAddr,
        handler: impl Fn(&Request, &TcpStream) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("a free port");
        let worker = Arc::new(Self {
            name: name.into(),
            address: listener.local_addr().expect("an address"),
            handler: Box::new(handler),
            up: AtomicBool::new(true),
            open: Mutex::default(),
        });
        worker.clone().listen(listener);
        worker
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            while self.up.load(SeqCst) {
                let Ok((io, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = (io.set_nonblocking(false), io.set_nodelay(true));
                let io = Arc::new(io);
                self.open.lock().expect("not poisoned").push(Arc::downgrade(&io));
                let worker = self.clone();
                thread::spawn(move || worker.connection(&io));
            }
        });
    }

    fn connection(&self, io: &Arc<TcpStream>) {
        // Reads through the same descriptor, so that a reset closes it.
        let mut reader = BufReader::new(Shared(io.clone()));
        while self.up.load(SeqCst) {
            let Ok(request) = http::read_request(&mut reader) else { return };
            if !self.up.load(SeqCst) {
                return;
            }
            let expected = request.header("expect-instance");
            if !expected.is_empty() && expected != self.name {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    request.header("request-id"),
                    self.name
                );
                if (&**io).write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !(self.handler)(&request, io) {
                return;
            }
        }
    }

    /// Ends as a process that crashes does: its connections are reset and nothing listens.
    pub fn crash(&self) {
        self.up.store(false, SeqCst);
        for io in self.open.lock().expect("not poisoned").drain(..).filter_map(|io| io.upgrade()) {
            sys::reset(&io);
        }
    }

    /// Listens again at the same address.
    pub fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        self.up.store(true, SeqCst);
        self.clone().listen(listener);
    }
}

/// A connection that several threads use through one descriptor.
pub struct Shared(pub Arc<TcpStream>);

impl std::io::Read for Shared {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        (&*self.0).read(buffer)
    }
}

/// Sends a complete answer with a length.
pub fn answer(io: &TcpStream, request: &Request, status: &str, more: &str, body: &[u8]) -> bool {
    let id = request.header("request-id");
    let head = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut io = io;
    io.write_all(&[head.as_bytes(), body].concat()).is_ok()
}
