//! Connection pools that are replaced as a whole after a timeout.
//!
//! Open connections may stop responding for good, without a reset, while new ones work. A call that
//! times out is the only sign, and the other open connections are then suspect too: a client that
//! reused them one by one would wait for a timeout on each. The call after a timeout therefore gets
//! a new connection.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use reqwest::{Client, ClientBuilder, RequestBuilder, Response, StatusCode, header::HeaderMap};

use crate::time_limit;

/// Maximum number of addresses with a pool of their own. All of them are dropped when it is
/// reached.
const MAX_ADDRESSES: usize = 1_024;

/// A response whose body was read completely.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    #[error(transparent)]
    Failed(#[from] reqwest::Error),
}

impl CallError {
    /// Whether no connection was opened, so that nothing was sent.
    pub(crate) fn is_connect(&self) -> bool {
        matches!(self, CallError::Failed(error) if error.is_connect())
    }

    /// Whether a call timed out on an open connection, which may have stopped responding for good.
    fn is_read_timeout(&self) -> bool {
        match self {
            CallError::TimedOut(_) => true,
            CallError::Failed(error) => error.is_timeout() && !error.is_connect(),
        }
    }
}

/// A client with its generation: when several calls of one generation time out, only the first
/// replaces the client.
#[derive(Debug, Clone)]
struct CurrentClient {
    client: Client,
    generation: u64,
}

impl CurrentClient {
    async fn call(
        &self,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<FullResponse, CallError> {
        let mut request = request(&self.client).build()?;
        // The HTTP client looks at its own timer before it looks for an answer.
        let limit = request.timeout_mut().take();
        let answer = async {
            let answer: Response = self.client.execute(request).await?;
            let (status, headers) = (answer.status(), answer.headers().clone());
            Ok(FullResponse { status, headers, body: answer.bytes().await? })
        };
        match limit {
            None => answer.await,
            Some(limit) => {
                let answer = time_limit::within(limit, answer).await;
                answer.unwrap_or(Err(CallError::TimedOut(limit)))
            }
        }
    }
}

/// The connections to one service.
#[derive(Clone)]
pub(crate) struct Connections {
    build: Arc<dyn Fn() -> ClientBuilder + Send + Sync>,
    current: Arc<Mutex<CurrentClient>>,
}

impl Connections {
    /// Creates clients with the given builder.
    pub(crate) fn new(build: impl Fn() -> ClientBuilder + Send + Sync + 'static) -> Connections {
        Connections::with_builder(Arc::new(build))
    }

    fn with_builder(build: Arc<dyn Fn() -> ClientBuilder + Send + Sync>) -> Connections {
        let current =
            Arc::new(Mutex::new(CurrentClient { client: build_client(&*build), generation: 0 }));
        Connections { build, current }
    }

    /// Makes a call and reads its answer. After a timeout the next calls get new connections; calls
    /// in flight keep theirs.
    pub(crate) async fn call(
        &self,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<FullResponse, CallError> {
        let current = self.current_client();
        let answer = current.call(request).await;
        if answer.as_ref().is_err_and(CallError::is_read_timeout) {
            self.replace(&current);
        }
        answer
    }

    fn current_client(&self) -> CurrentClient {
        lock(&self.current).clone()
    }

    fn replace(&self, current: &CurrentClient) {
        let mut stored = lock(&self.current);
        if stored.generation == current.generation {
            *stored = CurrentClient {
                client: build_client(&*self.build),
                generation: current.generation + 1,
            };
        }
    }
}

/// The connections to many addresses. Most addresses share a client; an address gets its own once a
/// call to it has timed out.
#[derive(Clone)]
pub(crate) struct ConnectionsByAddress {
    shared: Connections,
    own: Arc<Mutex<HashMap<String, Connections>>>,
}

impl ConnectionsByAddress {
    /// Creates clients with the given builder.
    pub(crate) fn new(
        build: impl Fn() -> ClientBuilder + Send + Sync + 'static,
    ) -> ConnectionsByAddress {
        ConnectionsByAddress { shared: Connections::new(build), own: Arc::default() }
    }

    /// Makes a call to an address and reads its answer, like [`Connections::call`].
    pub(crate) async fn call(
        &self,
        address: &str,
        request: impl FnOnce(&Client) -> RequestBuilder,
    ) -> Result<FullResponse, CallError> {
        let current = lock(&self.own).get(address).unwrap_or(&self.shared).current_client();
        let answer = current.call(request).await;
        if answer.as_ref().is_err_and(CallError::is_read_timeout) {
            self.replace(address, &current);
        }
        answer
    }

    fn replace(&self, address: &str, current: &CurrentClient) {
        let mut own = lock(&self.own);
        if let Some(connections) = own.get(address) {
            return connections.replace(current);
        }
        if MAX_ADDRESSES <= own.len() {
            own.clear();
        }
        let connections = Connections::with_builder(self.shared.build.clone());
        // Timeouts of calls made over the shared client must not replace this one.
        lock(&connections.current).generation = current.generation + 1;
        own.insert(address.to_owned(), connections);
    }
}

fn build_client(build: &dyn Fn() -> ClientBuilder) -> Client {
    build().build().expect("building an HTTP client without TLS cannot fail")
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
