//! A proxy between one node and the store whose faults can change while connections are open.

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

/// The faults of the link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkState {
    pub delay_ms: u64,
    /// Data from the node is held back until this is cleared.
    pub cut_out: bool,
    /// Data from the store is held back until this is cleared.
    pub cut_in: bool,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Connections with a lower number are reset.
    pub reset_below: u64,
    /// Of the connections with a lower number, one in `silent_every` is silent for good.
    pub silent_below: u64,
    pub silent_every: u64,
    /// Divisor and remainder of the numbers of connections that are held for now.
    pub held: Option<(u64, u64)>,
    /// Watch requests are held back.
    pub no_watch: bool,
}

/// Identifies a watch request.
const WATCH: &[u8] = b"GET /-/kv-watch";

impl LinkState {
    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below && number.is_multiple_of(self.silent_every.max(1))
    }

    fn is_held_back(&self, number: u64, outward: bool) -> bool {
        let is_held = self.held.is_some_and(|(divisor, remainder)| number % divisor == remainder);
        is_held || self.is_silent(number) || if outward { self.cut_out } else { self.cut_in }
    }
}

/// A proxy in front of the store.
pub struct Proxy {
    pub address: String,
    link: watch::Sender<LinkState>,
    opened: watch::Sender<u64>,
}

impl Proxy {
    pub async fn in_front_of(store: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (link, link_receiver) = watch::channel(LinkState::default());
        let opened = watch::channel(0).0;
        let count = opened.clone();
        tokio::spawn(async move {
            while let Ok((node, _)) = listener.accept().await {
                let number = *count.borrow();
                count.send_replace(number + 1);
                if !link_receiver.borrow().refuse {
                    tokio::spawn(carry(node, store, number, link_receiver.clone()));
                }
            }
        });
        Proxy { address, link, opened }
    }

    /// Changes the faults of the link; `change` also gets the number of connections opened so far.
    pub fn set(&self, change: impl FnOnce(&mut LinkState, u64)) {
        let opened = *self.opened.borrow();
        self.link.send_modify(|link| change(link, opened));
    }
}

async fn carry(
    node: TcpStream,
    store: SocketAddr,
    number: u64,
    mut link: watch::Receiver<LinkState>,
) {
    let Ok(store) = TcpStream::connect(store).await else {
        return;
    };
    let _ = (node.set_nodelay(true), store.set_nodelay(true));
    let (node, store) = (node.into_split(), store.into_split());
    let outbound = pump(node.0, store.1, number, true, link.clone());
    let inbound = pump(store.0, node.1, number, false, link.clone());
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        _ = link.wait_for(|link| number < link.reset_below) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    number: u64,
    outward: bool,
    mut link: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let delay = link.borrow().delay_ms;
        if delay != 0 {
            sleep(Duration::from_millis(delay)).await;
        }
        let is_watch = outward && buffer[..read].windows(WATCH.len()).any(|part| part == WATCH);
        let is_blocked =
            |link: &LinkState| link.is_held_back(number, outward) || (is_watch && link.no_watch);
        if link.wait_for(|link| !is_blocked(link)).await.is_err() {
            return;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
