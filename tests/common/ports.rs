//! Addresses for processes that a test starts.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
};

use tokio::net::TcpSocket;

/// The first port that is given. The system takes ports of connections from 32,768 on: one from
/// there may be taken between its choice and its use.
const FIRST_PORT: u32 = 10_000;

/// Ports of one test process, and how many processes have some of their own.
const BLOCK: u32 = 200;
const BLOCKS: u32 = 110;

/// An address of this host where nobody listens; none is given twice by a process.
pub fn free_address() -> String {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let block = FIRST_PORT + std::process::id() % BLOCKS * BLOCK;
    loop {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        assert!(given < 10 * BLOCK, "no port is free");
        let address = format!("127.0.0.1:{}", block + given % BLOCK);
        if probe(address.parse().unwrap()).is_ok() {
            return address;
        }
    }
}

/// Whether nobody listens at an address: binds it without listening there. A process that another
/// thread starts at the same moment holds a copy of the socket until it runs its own program, and
/// a listening one would keep whoever was given the address from using it.
pub fn probe(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
