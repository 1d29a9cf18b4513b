//! Conditional writes of records. The store's answer is applied to the view.

use bytes::Bytes;

use crate::{
    model::{
        record::{Key, Record},
        unit::Revision,
    },
    node::Node,
    platform::store::{Entry, Guard, StoreError, Swap},
};

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteResult {
    /// The record was written, at this revision.
    Done(Revision),
    /// The key was changed in the meantime; the view holds its current record.
    Conflict,
}

/// Writes a record if the revision in the store is still `expect`.
pub(crate) async fn write(
    node: &Node,
    record: Record,
    expect: Revision,
) -> Result<WriteResult, StoreError> {
    write_guarded(node, record, expect, &[]).await
}

/// Like [`write()`], but only if its dependencies are unchanged in the store as well.
pub(crate) async fn write_guarded(
    node: &Node,
    record: Record,
    expect: Revision,
    dependencies: &[(Key, Revision)],
) -> Result<WriteResult, StoreError> {
    let key = record.key().path();
    let value = Bytes::from(record.to_json());
    let guards = dependencies.iter().filter(|(guard, _)| *guard != record.key());
    let guards = guards.map(|(key, revision)| Guard { key: key.path(), revision: *revision });
    let swapped =
        node.store.swap_with_read_back(&key, expect, guards.collect(), value.clone()).await?;
    Ok(apply_swap(node, &key, Some(value), swapped))
}

/// Reads the current record of a key into the view.
pub(crate) async fn refresh(node: &Node, key: &Key) -> Result<(), StoreError> {
    let entry = node.store.get(&key.path()).await?;
    if entry.is_some_and(|entry| node.view().apply(entry)) {
        node.notify_change();
    }
    Ok(())
}

/// Deletes a record if its revision in the store is still `expect`.
pub(crate) async fn delete(
    node: &Node,
    key: &str,
    expect: Revision,
) -> Result<WriteResult, StoreError> {
    let swapped = node.store.swap(key, expect, None, None).await?;
    Ok(apply_swap(node, key, None, swapped))
}

fn apply_swap(node: &Node, key: &str, value: Option<Bytes>, swapped: Swap) -> WriteResult {
    let (entry, result) = match swapped {
        Swap::Done(revision) => {
            (Some(Entry { key: key.to_owned(), revision, value }), WriteResult::Done(revision))
        }
        Swap::Conflict(entry) => (entry, WriteResult::Conflict),
    };
    if entry.is_some_and(|entry| node.view().apply(entry)) {
        node.notify_change();
    }
    result
}
