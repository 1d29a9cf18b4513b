//! Proof that a relayed request comes from a node, and which key the caller had presented there.
//!
//! Each process draws a secret when it starts and registers it with its other data in the store,
//! which only nodes read. A relayed request carries the digest of the caller's key and a code over
//! all that matters in it, computed with the secret of the sending node. The receiving node looks
//! the digest up in its own configuration: the sender vouches for the key and not for the account.

use std::{fmt, time::Duration};

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::model::{account::KeyDigest, unit::Time};

/// How long a proof is valid. Relayed requests are idempotent, so one that is repeated within that
/// time does nothing new; the clocks of nodes may differ by seconds.
const VALIDITY: Duration = Duration::from_secs(30);

/// The secret of a node's process.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub(crate) struct NodeSecret([u8; 32]);

impl NodeSecret {
    pub(crate) fn random() -> NodeSecret {
        NodeSecret(rand::random())
    }
}

impl fmt::Debug for NodeSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("NodeSecret(..)")
    }
}

impl TryFrom<String> for NodeSecret {
    type Error = &'static str;

    fn try_from(text: String) -> Result<NodeSecret, &'static str> {
        from_hex(&text).map(NodeSecret).ok_or("not the secret of a node: 64 hex digits")
    }
}

impl From<NodeSecret> for String {
    fn from(secret: NodeSecret) -> String {
        to_hex(&secret.0)
    }
}

/// What a request is, as far as its proof covers it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Covered<'a> {
    pub(crate) method: &'a str,
    pub(crate) host: &'a str,
    pub(crate) path: &'a str,
}

/// What the sending node says of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Proof {
    /// The name of the sending node.
    pub(crate) node: String,
    /// The version of the configuration by which it has read the request.
    pub(crate) config: u64,
    /// The digest of the key that the caller presented, if any.
    pub(crate) key: Option<KeyDigest>,
    pub(crate) sent: Time,
    /// The SHA-256 of the body.
    pub(crate) body: [u8; 32],
}

/// Why a proof is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ProofError {
    #[error("the proof of the relaying node is missing or unreadable")]
    Unreadable,
    #[error("the relaying node is not known here")]
    UnknownNode,
    #[error("the proof of the relaying node is too old, or from the future")]
    Expired,
    #[error("the proof was not made by the relaying node for this request")]
    Forged,
}

/// The SHA-256 of a body.
pub(crate) fn digest_of(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

impl Proof {
    /// The value of the header that carries the proof.
    pub(crate) fn sign(&self, secret: &NodeSecret, request: Covered<'_>) -> String {
        let code = to_hex(&self.code(secret, request).finalize().into_bytes().into());
        let key = self.key.map_or_else(|| "-".to_owned(), |key| to_hex(key.as_bytes()));
        let (node, config, sent) = (&self.node, self.config, self.sent.as_millis());
        format!("{node} {config} {key} {sent} {} {code}", to_hex(&self.body))
    }

    /// Reads and checks the value of the header. `secret_of` returns the secret of a node by its
    /// name. The body is checked once it has been read, by its digest.
    pub(crate) fn verify(
        header: &str,
        request: Covered<'_>,
        secret_of: impl FnOnce(&str) -> Option<NodeSecret>,
        now: Time,
    ) -> Result<Proof, ProofError> {
        let (proof, code) = Proof::parse(header).ok_or(ProofError::Unreadable)?;
        let secret = secret_of(&proof.node).ok_or(ProofError::UnknownNode)?;
        if proof.code(&secret, request).verify_slice(&code).is_err() {
            return Err(ProofError::Forged);
        }
        let is_valid = now.since(proof.sent) <= VALIDITY && proof.sent.since(now) <= VALIDITY;
        if is_valid { Ok(proof) } else { Err(ProofError::Expired) }
    }

    fn parse(header: &str) -> Option<(Proof, [u8; 32])> {
        let fields: Vec<&str> = header.split(' ').collect();
        let [node, config, key, sent, body, code] = fields[..] else {
            return None;
        };
        let key = match key {
            "-" => None,
            digest => Some(KeyDigest::from_bytes(from_hex(digest)?)),
        };
        let proof = Proof {
            node: node.to_owned(),
            config: config.parse().ok()?,
            key,
            sent: Time::from_millis(sent.parse().ok()?),
            body: from_hex(body)?,
        };
        Some((proof, from_hex(code)?))
    }

    fn code(&self, secret: &NodeSecret, request: Covered<'_>) -> Hmac<Sha256> {
        let mut code =
            Hmac::<Sha256>::new_from_slice(&secret.0).expect("HMAC accepts keys of any length");
        let mut add = |part: &[u8]| {
            // With its length before it, no part can be taken for a piece of another.
            code.update(&(part.len() as u64).to_be_bytes());
            code.update(part);
        };
        add(self.node.as_bytes());
        add(&self.config.to_be_bytes());
        add(self.key.as_ref().map_or(&[], |key| &key.as_bytes()[..]));
        add(&self.sent.as_millis().to_be_bytes());
        add(&self.body);
        add(request.method.as_bytes());
        add(request.host.as_bytes());
        add(request.path.as_bytes());
        code
    }
}

fn to_hex(bytes: &[u8; 32]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|c| c.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (at, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(bytes)
}
