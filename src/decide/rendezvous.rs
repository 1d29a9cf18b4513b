//! Rendezvous (highest random weight) hashing: assigns keys to members without coordination, and
//! with few changes of owner when a member joins or leaves.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The weight of a member for a key.
fn weight(member: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(member.as_bytes(), 0))
}

/// The member that owns a key, or `None` if there are no members.
pub(crate) fn owner<'a>(members: impl Iterator<Item = &'a str>, key: &str) -> Option<&'a str> {
    members.max_by_key(|member| (weight(member, key), *member))
}

/// The `count` members with the highest weights for a key, the highest first.
pub(crate) fn top_members<'a>(
    members: impl Iterator<Item = &'a str>,
    key: &str,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<_> = members.collect();
    ranked.sort_by_key(|member| std::cmp::Reverse((weight(member, key), *member)));
    ranked.truncate(count);
    ranked
}
