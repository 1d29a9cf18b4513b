//! A way of one node to the store, which is harmed while connections are open.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::sleep,
};

/// What happens to what passes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Way {
    pub delay_ms: u64,
    /// What the node sends is kept back, and comes when this ends.
    pub cut_out: bool,
    /// What the store sends is kept back.
    pub cut_in: bool,
    /// New connections are closed.
    pub refuse: bool,
    /// Connections with a number below are reset.
    pub reset_below: u64,
    /// Connections with a number below are silent for good: of every so many one, 0 for none.
    pub silent_below: u64,
    pub silent_every: u64,
    /// Connections of which the number leaves this rest of this divisor are held up for now.
    pub held: Option<(u64, u64)>,
    /// Requests to watch are kept back.
    pub no_watch: bool,
}

/// What tells a request to watch from others.
const WATCH: &[u8] = b"GET /-/kv-watch";

impl Way {
    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below && number.is_multiple_of(self.silent_every.max(1))
    }

    fn holds(&self, number: u64, outward: bool) -> bool {
        let is_held = self.held.is_some_and(|(every, rest)| number % every == rest);
        is_held || self.is_silent(number) || if outward { self.cut_out } else { self.cut_in }
    }
}

/// A proxy before the store.
pub struct Proxy {
    pub address: String,
    way: watch::Sender<Way>,
    opened: watch::Sender<u64>,
}

impl Proxy {
    pub async fn before(store: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (way, is) = watch::channel(Way::default());
        let opened = watch::channel(0).0;
        let count = opened.clone();
        tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                let number = *count.borrow();
                count.send_replace(number + 1);
                if !is.borrow().refuse {
                    tokio::spawn(carry(node, store, number, is.clone()));
                }
            }
        });
        Proxy { address, way, opened }
    }

    /// Changes what happens to what passes.
    pub fn set(&self, change: impl FnOnce(&mut Way, u64)) {
        let opened = *self.opened.borrow();
        self.way.send_modify(|way| change(way, opened));
    }
}

async fn carry(node: TcpStream, store: SocketAddr, number: u64, mut way: watch::Receiver<Way>) {
    let Ok(store) = TcpStream::connect(store).await else {
        return;
    };
    let _ = (node.set_nodelay(true), store.set_nodelay(true));
    let (node, store) = (node.into_split(), store.into_split());
    let out = pump(node.0, store.1, number, true, way.clone());
    let back = pump(store.0, node.1, number, false, way.clone());
    tokio::select! {
        _ = async { tokio::join!(out, back) } => {}
        _ = way.wait_for(|way| number < way.reset_below) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    outward: bool,
    mut way: watch::Receiver<Way>,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let delay = way.borrow().delay_ms;
        if delay != 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        let is_watch = outward && buffer[..read].windows(WATCH.len()).any(|part| part == WATCH);
        let holds = |way: &Way| way.holds(number, outward) || (is_watch && way.no_watch);
        if way.wait_for(|way| !holds(way)).await.is_err() {
            return;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
