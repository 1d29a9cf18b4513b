//! Client of a node's operators' API.

use reqwest::Method;
use serde::{Serialize, de::DeserializeOwned};

use crate::{error::Error, operator::message::Refusal, platform::store::chain};

const TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);

/// A client of one node's operators' API.
#[derive(Clone)]
pub(crate) struct Client {
    http: reqwest::Client,
    /// IP address and port of the node's operators' API.
    pub(crate) node: String,
}

/// A node's answer.
pub(crate) enum Answer<T> {
    Done(T),
    Refused(Refusal),
}

impl Client {
    /// Creates a client for the node at an address.
    pub(crate) fn new(node: &str) -> Client {
        Client { http: reqwest::Client::new(), node: node.to_owned() }
    }

    /// Sends a GET request.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<T, Error> {
        let answer = self.call(step, Method::GET, path, None::<&()>).await?;
        self.require_done(answer)
    }

    /// Sends a POST request. A refusal is an error.
    pub(crate) async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        request: &Q,
    ) -> Result<T, Error> {
        let answer = self.try_post(step, path, request).await?;
        self.require_done(answer)
    }

    /// Sends a POST request. A refusal is returned as an answer.
    pub(crate) async fn try_post<Q: Serialize, T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        request: &Q,
    ) -> Result<Answer<T>, Error> {
        self.call(step, Method::POST, path, Some(request)).await
    }

    fn require_done<T>(&self, answer: Answer<T>) -> Result<T, Error> {
        match answer {
            Answer::Done(value) => Ok(value),
            Answer::Refused(refusal) => {
                Err(Error::Refused { node: self.node.clone(), reason: refusal.error })
            }
        }
    }

    async fn call<Q: Serialize, T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        request: Option<&Q>,
    ) -> Result<Answer<T>, Error> {
        let failed = |cause: String| Error::NotReached { node: self.node.clone(), step, cause };
        let mut builder =
            self.http.request(method, format!("http://{}/v1/{path}", self.node)).timeout(TIMEOUT);
        if let Some(request) = request {
            builder = builder.json(request);
        }
        let answer = builder.send().await.map_err(|error| failed(chain(&error)))?;
        let status = answer.status();
        let body = answer.bytes().await.map_err(|error| failed(chain(&error)))?;
        if status.is_success() {
            let value = serde_json::from_slice(&body);
            return value.map(Answer::Done).map_err(|error| failed(error.to_string()));
        }
        let refusal = serde_json::from_slice(&body)
            .unwrap_or_else(|_| Refusal { error: format!("status {status}"), fresh: None });
        Ok(Answer::Refused(refusal))
    }
}
