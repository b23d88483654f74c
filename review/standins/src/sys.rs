//! Signals, and the reset of a connection, by the C library that the standard library links.

use std::{
    net::{Shutdown, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
    sync::atomic::{AtomicU32, Ordering::SeqCst},
};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// Sends `signal` to a process that this program started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Closes a connection by a reset; all its handles must be dropped too.
pub fn reset(io: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET is 1 and SO_LINGER 13 on Linux, on x86-64 and arm64.
    unsafe { setsockopt(io.as_raw_fd(), 1, 13, &linger, size_of::<Linger>() as u32) };
    let _ = io.shutdown(Shutdown::Read);
}

/// A free port of 127.0.0.1, for TCP and UDP. It is below those that the system gives to connections, so
/// that none of these takes it before it is used.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(41) % 12_000;
    loop {
        let port = 20_000 + ((first + NEXT.fetch_add(1, SeqCst)) % 12_000) as u16;
        let free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if free && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
