//! Conditional writes of records, with the view brought up to date by what the store answers.

use bytes::Bytes;

use crate::{
    model::{
        record::{Key, Record},
        unit::Revision,
    },
    node::Node,
    platform::store::{Entry, Guard, StoreError, Swap},
};

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Written {
    /// It stands, at this revision.
    Yes(Revision),
    /// Somebody else wrote first: the view holds what stands now.
    Conflict,
}

/// Writes a record if the store holds the one that it was made from, at `expect`.
pub(crate) async fn write(
    node: &Node,
    record: Record,
    expect: Revision,
) -> Result<Written, StoreError> {
    write_guarded(node, record, expect, &[]).await
}

/// As [`write()`], if the records that it rests on are in the store as they were then, too.
pub(crate) async fn write_guarded(
    node: &Node,
    record: Record,
    expect: Revision,
    rests_on: &[(Key, Revision)],
) -> Result<Written, StoreError> {
    let key = record.key().path();
    let value = Bytes::from(record.to_json());
    let guards = rests_on.iter().filter(|(guard, _)| *guard != record.key());
    let guards = guards.map(|(key, revision)| Guard { key: key.path(), revision: *revision });
    let swapped = node.store.swap_surely(&key, expect, guards.collect(), value.clone()).await?;
    Ok(take_in(node, &key, Some(value), swapped))
}

/// Takes in what stands under a key now.
pub(crate) async fn refresh(node: &Node, key: &Key) -> Result<(), StoreError> {
    let entry = node.store.get(&key.path()).await?;
    if entry.is_some_and(|entry| node.view().apply(entry)) {
        node.note_change();
    }
    Ok(())
}

/// Deletes a record if the store holds it at `expect`.
pub(crate) async fn delete(
    node: &Node,
    key: &str,
    expect: Revision,
) -> Result<Written, StoreError> {
    let swapped = node.store.swap(key, expect, None, None).await?;
    Ok(take_in(node, key, None, swapped))
}

fn take_in(node: &Node, key: &str, value: Option<Bytes>, swapped: Swap) -> Written {
    let (entry, written) = match swapped {
        Swap::Done(revision) => {
            (Some(Entry { key: key.to_owned(), revision, value }), Written::Yes(revision))
        }
        Swap::Conflict(entry) => (entry, Written::Conflict),
    };
    if entry.is_some_and(|entry| node.view().apply(entry)) {
        node.note_change();
    }
    written
}
