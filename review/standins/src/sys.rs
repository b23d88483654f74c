//! Signals, and the reset of a connection, by the C library that the standard library links.

use std::{
    net::{Shutdown, TcpListener, TcpStream, UdpSocket},
    os::fd::AsRawFd,
};

pub const SIGKILL: i32 = 9;

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

/// A free port of 127.0.0.1, for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = tcp.local_addr().expect("an address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
