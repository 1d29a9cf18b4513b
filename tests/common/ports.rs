//! Addresses for processes that a test starts.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
};

use tokio::net::TcpSocket;

/// First port to hand out. The system assigns ephemeral ports from 32,768 on: a port in that range
/// could be taken between its choice and its use.
const FIRST_PORT: u32 = 10_000;

/// Number of ports per block. Each test process uses one block.
const BLOCK_PORTS: u32 = 200;

/// Number of blocks.
const BLOCKS: u32 = 110;

/// A loopback address on which nobody listens. A process gets no address twice until it has used up
/// its block.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let block = FIRST_PORT + std::process::id() % BLOCKS * BLOCK_PORTS;
    loop {
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        assert!(index < 10 * BLOCK_PORTS, "no free port in the block");
        let address = format!("127.0.0.1:{}", block + index % BLOCK_PORTS);
        if probe(address.parse().unwrap()).is_ok() {
            return address;
        }
    }
}

/// Binds an address without listening; fails if somebody listens there. A process that another
/// thread forks at the same moment inherits the socket until its exec, and a listening socket would
/// then block the process that is to use the address.
pub fn probe(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
