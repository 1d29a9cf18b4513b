//! The JSON mapping of etcd's gateway: bytes in base64, 64-bit numbers as strings.

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD as BASE64};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    model::unit::Revision,
    platform::store::{
        Call, Entry, Events, Guard, LeaseId, Reply, SizeObserver, StoreError, WatchStream, chain,
        prefix_end,
    },
};

/// Decodes the base64 of a key or value.
pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    BASE64.decode(text).ok()
}

/// Encodes a key or value in base64.
pub(crate) fn encode(bytes: &[u8]) -> String {
    BASE64.encode(bytes)
}

/// A 64-bit number, encoded as a string by the mapping.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Int(pub(crate) i64);

impl Serialize for Int {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Int, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(i64),
        }
        match Either::deserialize(deserializer)? {
            Either::Text(text) => text.parse().map(Int).map_err(serde::de::Error::custom),
            Either::Number(number) => Ok(Int(number)),
        }
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) mod_revision: Int,
    pub(crate) lease: Int,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct RangeRequest {
    pub(crate) key: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) range_end: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) limit: Option<Int>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) sort_order: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) sort_target: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) keys_only: bool,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) key: String,
    pub(crate) target: String,
    pub(crate) result: String,
    pub(crate) mod_revision: Int,
}

impl Compare {
    /// Condition that a key has a revision; zero if the key must not exist.
    fn revision_is(key: &str, revision: Revision) -> Compare {
        Compare {
            key: encode(key.as_bytes()),
            target: "MOD".to_owned(),
            result: "EQUAL".to_owned(),
            mod_revision: Int(revision.0 as i64),
        }
    }
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PutRequest {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) lease: Int,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Operation {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request_put: Option<PutRequest>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request_delete_range: Option<RangeRequest>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request_range: Option<RangeRequest>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct OperationResponse {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<OperationResponse>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
    #[serde(rename = "ID")]
    pub(crate) id: Int,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    pub(crate) header: Header,
    #[serde(rename = "ID")]
    pub(crate) id: Int,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int,
}

/// The gateway's wrapper of streamed answers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Streamed<T> {
    pub(crate) result: T,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    pub(crate) key: String,
    pub(crate) range_end: String,
    pub(crate) start_revision: Int,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    /// `DELETE`, or `PUT`, which the mapping omits.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub(crate) kind: Option<String>,
    pub(crate) kv: KeyValue,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) header: Header,
    pub(crate) created: bool,
    pub(crate) canceled: bool,
    pub(crate) compact_revision: Int,
    pub(crate) events: Vec<WatchEvent>,
}

fn entry(kv: &KeyValue, deleted: bool) -> Option<Entry> {
    let key = String::from_utf8(decode(&kv.key)?).ok()?;
    let value = if deleted { None } else { Some(decode(&kv.value)?.into()) };
    let revision = Revision(u64::try_from(kv.mod_revision.0).ok()?);
    Some(Entry { key, revision, value })
}

fn entries(range: &RangeResponse) -> Vec<Entry> {
    range.kvs.iter().filter_map(|kv| entry(kv, false)).collect()
}

fn revision(header: &Header) -> Revision {
    Revision(u64::try_from(header.revision.0).unwrap_or(0))
}

fn prefix_range(prefix: &str) -> RangeRequest {
    RangeRequest {
        key: encode(prefix.as_bytes()),
        range_end: encode(&prefix_end(prefix)),
        ..RangeRequest::default()
    }
}

/// Makes a call to the store.
pub(super) async fn call(
    client: &reqwest::Client,
    peer: &str,
    call: Call,
    timeout: Duration,
    note: &SizeObserver,
) -> Result<Reply, StoreError> {
    let context = CallContext { client, peer, step: call.kind(), timeout, note };
    match call {
        Call::Get { key } => {
            let request = RangeRequest { key: encode(key.as_bytes()), ..Default::default() };
            context.range(request).await
        }
        Call::List { prefix } => context.range(prefix_range(&prefix)).await,
        Call::Newest { prefix } => {
            let request = RangeRequest {
                limit: Some(Int(1)),
                sort_order: Some("DESCEND".to_owned()),
                sort_target: Some("MOD".to_owned()),
                keys_only: true,
                ..prefix_range(&prefix)
            };
            context.range(request).await
        }
        Call::Swap { key, expect, guards, value, lease } => {
            context.swap(key, expect, guards, value, lease).await
        }
        Call::Grant { ttl } => {
            let ttl = Int(ttl.as_secs().max(1) as i64);
            let request = LeaseRequest { ttl, ..Default::default() };
            context.post::<_, LeaseResponse>("lease/grant", &request).await.map(lease_reply)
        }
        Call::Renew { lease } => {
            let request = LeaseRequest { id: Int(lease), ..Default::default() };
            let reply: Streamed<LeaseResponse> = context.post("lease/keepalive", &request).await?;
            Ok(lease_reply(reply.result))
        }
        Call::Revoke { lease } => {
            let request = LeaseRequest { id: Int(lease), ..Default::default() };
            context.post::<_, LeaseResponse>("lease/revoke", &request).await.map(lease_reply)
        }
    }
}

fn lease_reply(reply: LeaseResponse) -> Reply {
    let left = Duration::from_secs(u64::try_from(reply.ttl.0).unwrap_or(0));
    Reply::Lease { lease: reply.id.0, left }
}

struct CallContext<'a> {
    client: &'a reqwest::Client,
    peer: &'a str,
    step: &'static str,
    timeout: Duration,
    note: &'a SizeObserver,
}

impl CallContext<'_> {
    async fn range(&self, request: RangeRequest) -> Result<Reply, StoreError> {
        let reply: RangeResponse = self.post("kv/range", &request).await?;
        Ok(Reply::Entries { entries: entries(&reply), revision: revision(&reply.header) })
    }

    async fn swap(
        &self,
        key: String,
        expect: Revision,
        guards: Vec<Guard>,
        value: Option<Bytes>,
        lease: Option<LeaseId>,
    ) -> Result<Reply, StoreError> {
        let guards = guards.iter().map(|guard| Compare::revision_is(&guard.key, guard.revision));
        let compare = std::iter::once(Compare::revision_is(&key, expect)).chain(guards).collect();
        let key = encode(key.as_bytes());
        let at_key = RangeRequest { key: key.clone(), ..Default::default() };
        let write = match value {
            Some(value) => Operation {
                request_put: Some(PutRequest {
                    key,
                    value: encode(&value),
                    lease: Int(lease.unwrap_or(0)),
                }),
                ..Default::default()
            },
            None => Operation { request_delete_range: Some(at_key.clone()), ..Default::default() },
        };
        let request = TxnRequest {
            compare,
            success: vec![write],
            failure: vec![Operation { request_range: Some(at_key), ..Default::default() }],
        };
        let reply: TxnResponse = self.post("kv/txn", &request).await?;
        if reply.succeeded {
            return Ok(Reply::Swapped(revision(&reply.header)));
        }
        let found = reply.responses.iter().find_map(|r| r.response_range.as_ref());
        Ok(Reply::Conflict(found.and_then(|range| entries(range).into_iter().next())))
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, StoreError> {
        let (step, peer) = (self.step, self.peer.to_owned());
        let body = serde_json::to_vec(request).expect("requests can be encoded as JSON");
        (self.note)(body.len());
        let sent = self
            .client
            .post(format!("{}/v3/{path}", self.peer))
            .timeout(self.timeout)
            .header("content-type", "application/json")
            .body(body)
            .send()
            .await;
        let answer = sent.map_err(|error| self.transport_error(&error))?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(StoreError::Refused { step, peer, status });
        }
        let body = answer.bytes().await.map_err(|error| self.transport_error(&error))?;
        (self.note)(body.len());
        serde_json::from_slice(&body).map_err(|error| {
            let cause = error.to_string();
            StoreError::InvalidAnswer { step, peer, cause }
        })
    }

    fn transport_error(&self, error: &reqwest::Error) -> StoreError {
        let (step, peer, cause) = (self.step, self.peer.to_owned(), chain(error));
        if error.is_connect() {
            return StoreError::Failed { step, peer, cause };
        }
        StoreError::Unanswered { step, peer, cause }
    }
}

/// Opens a watch.
pub(super) async fn watch(
    client: reqwest::Client,
    peer: Arc<str>,
    prefix: String,
    from: Revision,
    timeout: Duration,
    note: SizeObserver,
) -> Result<WatchStream, StoreError> {
    let request = WatchRequest {
        create_request: WatchCreate {
            key: encode(prefix.as_bytes()),
            range_end: encode(&prefix_end(&prefix)),
            start_revision: Int(from.0 as i64),
        },
    };
    const STEP: &str = "watch";
    let step = STEP;
    let failed =
        |peer: &str, cause: String| StoreError::Failed { step, peer: peer.to_owned(), cause };
    let sent = client.post(format!("{peer}/v3/watch")).json(&request).send();
    let answer = tokio::time::timeout(timeout, sent)
        .await
        .map_err(|_| failed(&peer, "no answer in time".to_owned()))?
        .map_err(|error| failed(&peer, chain(&error)))?;
    let status = answer.status().as_u16();
    if status != 200 {
        return Err(StoreError::Refused { step, peer: peer.to_string(), status });
    }
    let body = answer.bytes_stream().boxed();
    let state = (body, BytesMut::new(), peer, note);
    let events = stream::try_unfold(state, |(mut body, mut buffer, peer, note)| async move {
        loop {
            if let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line = buffer.split_to(end + 1);
                let events = read_events(&line, &peer)?;
                return Ok(Some((events, (body, buffer, peer, note))));
            }
            match body.next().await {
                Some(Ok(chunk)) => {
                    note(chunk.len());
                    buffer.extend_from_slice(&chunk);
                }
                Some(Err(error)) => {
                    let cause = chain(&error);
                    return Err(StoreError::Failed { step: STEP, peer: peer.to_string(), cause });
                }
                None => return Ok(None),
            }
        }
    });
    Ok(events.boxed())
}

fn read_events(line: &[u8], peer: &str) -> Result<Events, StoreError> {
    let answer: Streamed<WatchResponse> = serde_json::from_slice(line).map_err(|error| {
        let cause = error.to_string();
        StoreError::InvalidAnswer { step: "watch", peer: peer.to_owned(), cause }
    })?;
    let answer = answer.result;
    if answer.canceled {
        let through = Revision(u64::try_from(answer.compact_revision.0).unwrap_or(0));
        return Err(StoreError::Compacted { peer: peer.to_owned(), through });
    }
    let is_delete = |event: &WatchEvent| event.kind.as_deref() == Some("DELETE");
    let entries = answer.events.iter().filter_map(|e| entry(&e.kv, is_delete(e))).collect();
    Ok(Events { entries })
}
