//! Client accounts: whose jobs these are, by which keys callers prove it, and what an account may
//! have running.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    hash::{Hash, Hasher},
    str::FromStr,
};

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::model::{id::AccountId, job::TaskResources};

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 512;

/// The key of a client account. It has neither `Debug` nor `Display`: its text must not get into a
/// log line, a metric or a record.
pub(crate) struct ApiKey(Box<str>);

/// The error for a text that cannot be a key. It does not contain the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a key: 1 to {MAX_KEY_BYTES} visible ASCII characters are allowed")]
pub(crate) struct ApiKeyError;

impl FromStr for ApiKey {
    type Err = ApiKeyError;

    fn from_str(text: &str) -> Result<ApiKey, ApiKeyError> {
        let is_key = !text.is_empty()
            && text.len() <= MAX_KEY_BYTES
            && text.bytes().all(|c| c.is_ascii_graphic());
        if is_key { Ok(ApiKey(text.into())) } else { Err(ApiKeyError) }
    }
}

impl ApiKey {
    /// The digest by which the key is looked up.
    pub(crate) fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.as_bytes()).into())
    }
}

/// The SHA-256 of a key. Nodes keep this and not the key.
#[derive(Clone, Copy)]
pub(crate) struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The bytes of the digest.
    pub(crate) fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The digest with these bytes.
    pub(crate) fn from_bytes(bytes: [u8; 32]) -> KeyDigest {
        KeyDigest(bytes)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// The jobs that an account may send in each second and be served before what others send beyond
/// theirs. Kept in thousandths of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Weight(u64);

/// The largest weight that is accepted, in jobs per second.
const MAX_WEIGHT: f64 = 1e6;

/// The error for a number that cannot be a weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a weight: more than 0 and at most {MAX_WEIGHT} jobs per second are allowed")]
pub(crate) struct WeightError;

impl Weight {
    /// The weight of a number of jobs per second, rounded to thousandths but not to 0.
    pub(crate) fn per_second(jobs: f64) -> Result<Weight, WeightError> {
        if 0.0 < jobs && jobs <= MAX_WEIGHT {
            Ok(Weight(((jobs * 1_000.0).round() as u64).max(1)))
        } else {
            Err(WeightError)
        }
    }

    /// The time in which the weight gives a number of jobs, in microseconds.
    pub(crate) fn time_of(self, jobs: u64) -> u64 {
        jobs.saturating_mul(1_000_000_000) / self.0
    }

    /// Jobs per second.
    pub(crate) fn rate(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.rate())
    }
}

impl FromStr for Weight {
    type Err = WeightError;

    fn from_str(text: &str) -> Result<Weight, WeightError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        number.parse().map_err(|_| WeightError).and_then(Weight::per_second)
    }
}

/// A client account as configured by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Account {
    pub(crate) id: AccountId,
    /// The jobs per second that come before what others send beyond their weight; `None` if jobs
    /// of the account are never refused or put back for their number.
    pub(crate) weight: Option<Weight>,
    /// What its tasks may use together, over all pools; 0 for no limit.
    pub(crate) limit: TaskResources,
}

/// Why an account, or one of its keys, is not used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AccountError {
    #[error("account {0}: listed twice: the first entry is used")]
    ListedTwice(AccountId),
    #[error("account {account}: key {number} belongs to account {holder} already")]
    KeyInUse { account: AccountId, number: usize, holder: AccountId },
    #[error("account {account}: key {number} is {error}")]
    InvalidKey { account: AccountId, number: usize, error: ApiKeyError },
    #[error("account {account}: weight ignored: {error}")]
    InvalidWeight { account: AccountId, error: WeightError },
    #[error("account entry {number}: {reason}")]
    InvalidEntry { number: usize, reason: &'static str },
}

/// The client accounts of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Accounts {
    accounts: BTreeMap<AccountId, Account>,
    keys: HashMap<KeyDigest, AccountId>,
}

impl Accounts {
    /// Adds an account with its keys. Keys that cannot be used are left out and returned as errors.
    pub(crate) fn add(&mut self, account: Account, keys: &[&str]) -> Vec<AccountError> {
        let id = account.id.clone();
        if self.accounts.contains_key(&id) {
            return vec![AccountError::ListedTwice(id)];
        }
        self.accounts.insert(id.clone(), account);
        let mut errors = Vec::new();
        for (number, key) in keys.iter().enumerate() {
            let account = id.clone();
            match key.parse::<ApiKey>() {
                Ok(key) => {
                    let holder = self.keys.entry(key.digest()).or_insert_with(|| id.clone());
                    if *holder != id {
                        let holder = holder.clone();
                        errors.push(AccountError::KeyInUse { account, number, holder });
                    }
                }
                Err(error) => errors.push(AccountError::InvalidKey { account, number, error }),
            }
        }
        errors
    }

    /// The account that a key belongs to.
    pub(crate) fn holder(&self, key: &KeyDigest) -> Option<&AccountId> {
        self.keys.get(key)
    }

    /// An account by its name.
    pub(crate) fn get(&self, id: &AccountId) -> Option<&Account> {
        self.accounts.get(id)
    }

    /// All accounts.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.values()
    }
}
