//! Ports for instances that a test starts and that must find them free again after a restart.

use {
    indexmap::IndexSet,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        ops::Range,
        process::{Child, Command},
        sync::{LazyLock, Mutex, MutexGuard},
    },
};

/// Ports below the ephemeral range, so that no outgoing connection takes the port of an instance
/// that is down.
const RANGE: Range<u16> = 15_000..32_000;

/// Ports that this process has reserved. Locked while a process is started too: until it executes
/// its program, a new process holds copies of the sockets with which ports are tried.
static RESERVED: LazyLock<Mutex<IndexSet<u16>>> = LazyLock::new(Mutex::default);

fn reserved() -> MutexGuard<'static, IndexSet<u16>> {
    RESERVED.lock().expect("not poisoned")
}

/// Reserves a loopback address whose port is free for TCP and UDP. No address is returned twice, so
/// that tests which run side by side do not get the same one before its instance has bound it.
///
/// # Panics
///
/// If all ports are reserved.
pub fn reserve() -> SocketAddr {
    let mut reserved = reserved();
    loop {
        assert!(reserved.len() < RANGE.len(), "all ports are reserved");
        let port = rand::random_range(RANGE);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if reserved.contains(&port) {
            continue;
        }
        let tcp = TcpListener::bind(address);
        if tcp.is_ok() && UdpSocket::bind(address).is_ok() {
            reserved.insert(port);
            return address;
        }
    }
}

/// Starts a process while no port is tried.
///
/// # Errors
///
/// Those of [`Command::spawn`].
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _reserved = reserved();
    command.spawn()
}
