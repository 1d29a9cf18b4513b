//! Addresses for processes that a test starts.

use std::{
    net::TcpListener,
    sync::atomic::{AtomicU32, Ordering},
};

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
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}
