//! Connections that can be given up together.
//!
//! Open connections may go silent for good, without a reset, while new ones work. A call without an
//! answer is the only sign, and the others that are open are then as suspect: a client that took
//! them one after the other would spend a limit of time on each. So the call after one without an
//! answer gets a new connection.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use reqwest::{Client, ClientBuilder, RequestBuilder, Response, StatusCode, header::HeaderMap};

/// Addresses with connections of their own that are kept before all are forgotten.
const MOST_ADDRESSES: usize = 1_024;

/// An answer that was read whole.
#[derive(Debug)]
pub(crate) struct Whole {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A client, and which one it is: of several calls without an answer only the first gives up the
/// connections that they were made over.
#[derive(Debug, Clone)]
struct Lent {
    client: Client,
    number: u64,
}

impl Lent {
    async fn call(
        &self,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> reqwest::Result<Whole> {
        let answer: Response = request(&self.client).send().await?;
        let (status, headers) = (answer.status(), answer.headers().clone());
        Ok(Whole { status, headers, body: answer.bytes().await? })
    }
}

/// Whether a call has met a connection that was open and may be silent for good.
fn is_silence(error: &reqwest::Error) -> bool {
    error.is_timeout() && !error.is_connect()
}

/// The connections to one service.
#[derive(Clone)]
pub(crate) struct Connections {
    build: Arc<dyn Fn() -> ClientBuilder + Send + Sync>,
    lent: Arc<Mutex<Lent>>,
}

impl Connections {
    /// Connections that are made as told.
    pub(crate) fn new(build: impl Fn() -> ClientBuilder + Send + Sync + 'static) -> Connections {
        Connections::sharing(Arc::new(build))
    }

    fn sharing(build: Arc<dyn Fn() -> ClientBuilder + Send + Sync>) -> Connections {
        let lent = Arc::new(Mutex::new(Lent { client: client(&*build), number: 0 }));
        Connections { build, lent }
    }

    /// Makes a call and reads its answer. After one without an answer in time the next ones get new
    /// connections; calls that are under way keep theirs.
    pub(crate) async fn call(
        &self,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> reqwest::Result<Whole> {
        let lent = self.lend();
        let answer = lent.call(request).await;
        if answer.as_ref().is_err_and(is_silence) {
            self.distrust(&lent);
        }
        answer
    }

    fn lend(&self) -> Lent {
        lock(&self.lent).clone()
    }

    fn distrust(&self, lent: &Lent) {
        let mut held = lock(&self.lent);
        if held.number == lent.number {
            *held = Lent { client: client(&*self.build), number: lent.number + 1 };
        }
    }
}

/// The connections to many addresses. Most share a client; an address at which a call got no answer
/// has one of its own from then on.
#[derive(Clone)]
pub(crate) struct ManyConnections {
    shared: Connections,
    own: Arc<Mutex<HashMap<String, Connections>>>,
}

impl ManyConnections {
    /// Connections that are made as told.
    pub(crate) fn new(
        build: impl Fn() -> ClientBuilder + Send + Sync + 'static,
    ) -> ManyConnections {
        ManyConnections { shared: Connections::new(build), own: Arc::default() }
    }

    /// Makes a call to an address and reads its answer, as [`Connections::call`] does.
    pub(crate) async fn call(
        &self,
        address: &str,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> reqwest::Result<Whole> {
        let lent = lock(&self.own).get(address).unwrap_or(&self.shared).lend();
        let answer = lent.call(request).await;
        if answer.as_ref().is_err_and(is_silence) {
            self.distrust(address, &lent);
        }
        answer
    }

    fn distrust(&self, address: &str, lent: &Lent) {
        let mut own = lock(&self.own);
        if let Some(connections) = own.get(address) {
            return connections.distrust(lent);
        }
        if MOST_ADDRESSES <= own.len() {
            own.clear();
        }
        let connections = Connections::sharing(self.shared.build.clone());
        // Calls that were made over the shared ones say nothing of these.
        lock(&connections.lent).number = lent.number + 1;
        own.insert(address.to_owned(), connections);
    }
}

fn client(build: &dyn Fn() -> ClientBuilder) -> Client {
    build().build().expect("a client without TLS needs nothing of the system")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
