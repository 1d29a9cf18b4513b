//! Rendezvous hashing: divides work over members without an agreement, and with few changes of
//! owner when a member comes or goes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How high a member bids for a key.
fn bid(member: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(member.as_bytes(), 0))
}

/// The member that owns a key; nothing if there are no members.
pub(crate) fn owner<'a>(members: impl Iterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    members.max_by_key(|member| (bid(member, key), *member))
}

/// The `count` members that bid the highest for a key, the highest first.
pub(crate) fn first<'a>(
    members: impl Iterator<Item = &'a str>,
    key: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut all: Vec<_> = members.collect();
    all.sort_by_key(|member| std::cmp::Reverse((bid(member, key), *member)));
    all.truncate(count);
    all
}
