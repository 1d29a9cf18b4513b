//! What the connections of a process may hold together.
//!
//! Every connection takes memory and a descriptor from the same budget, whichever address it came
//! to. While the budget lasts, nothing is closed but connections that are late. Once it is used up,
//! the connections that wait for their clients are closed, those first that have taken most for
//! longest; one whose request is in progress is never closed.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::settings::clients::ClientLimits;

/// Memory that an open connection is charged for its task and its buffers, in bytes.
pub(crate) const CONNECTION_BYTES: usize = 32 * 1024;

/// The part of the budget that is made free at once when it is used up.
const FREED_PART: usize = 16;

/// The part of the budget that connections may still hold that are being closed. Beyond it, nothing
/// more is taken in until some of them are gone.
const CLOSING_PART: usize = 4;

/// Limits on the connections of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Maximum memory that all connections hold, in bytes.
    pub(crate) held_bytes: usize,
    pub(crate) clients: ClientLimits,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            connections: 4_096,
            held_bytes: 256 << 20,
            clients: ClientLimits::default(),
        }
    }
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first byte of a request.
    Idle,
    /// The rest of a request.
    Receiving,
    /// The answer of this process.
    Serving,
    /// The client, to read the answer.
    Sending,
}

/// Why a request is not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Overload {
    #[error("the node has reached its memory limit for connections")]
    Memory,
    #[error("the node has reached its limit of requests in progress")]
    Requests,
    #[error("the connection was closed to make room")]
    Closed,
}

/// What one listener may have of the connections of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Maximum number of open connections.
    pub(crate) connections: usize,
    /// Maximum number of requests in progress.
    pub(crate) requests: usize,
}

impl Share {
    /// A share in which each connection may have a request in progress.
    pub(crate) fn of_connections(connections: usize) -> Share {
        Share { connections, requests: connections }
    }
}

/// A listener of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ListenerId(usize);

/// What a listener has of its share.
struct Usage {
    share: Share,
    connections: usize,
    requests: usize,
}

struct Slot {
    listener: ListenerId,
    phase: Phase,
    /// When the phase began.
    since: Instant,
    held_bytes: usize,
    close: CancellationToken,
}

impl Slot {
    /// What the connection costs while its client keeps it waiting, in bytes times milliseconds;
    /// `None` if it does not wait for its client.
    fn cost(&self, now: Instant) -> Option<u128> {
        let waited = now.saturating_duration_since(self.since).as_millis() + 1;
        (self.phase != Phase::Serving).then_some(self.held_bytes as u128 * waited)
    }
}

/// Numbers of connections and requests that were turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TurnedAway {
    /// Connections whose clients were late.
    pub(crate) late: u64,
    /// Connections that had to make room for others.
    pub(crate) evicted: u64,
    /// Connections and requests for which there was no room.
    pub(crate) refused: u64,
}

#[derive(Default)]
struct Table {
    slots: HashMap<u64, Slot>,
    next: u64,
    held_bytes: usize,
    /// What connections hold that had to make room and are not closed yet.
    closing: HashMap<u64, usize>,
    closing_bytes: usize,
    listeners: Vec<Usage>,
    turned_away: TurnedAway,
}

impl Table {
    fn remove(&mut self, id: u64) -> Option<Slot> {
        let slot = self.slots.remove(&id)?;
        self.held_bytes -= slot.held_bytes;
        let usage = &mut self.listeners[slot.listener.0];
        usage.connections -= 1;
        usage.requests -= usize::from(slot.phase == Phase::Serving);
        Some(slot)
    }

    fn close(&mut self, id: u64) {
        if let Some(slot) = self.remove(id) {
            self.closing.insert(id, slot.held_bytes);
            self.closing_bytes += slot.held_bytes;
            slot.close.cancel();
        }
    }

    /// Records that a connection is gone.
    fn note_gone(&mut self, id: u64) {
        match self.closing.remove(&id) {
            Some(bytes) => self.closing_bytes -= bytes,
            None => drop(self.remove(id)),
        }
    }

    fn set_phase(&mut self, id: u64, phase: Phase, now: Instant) {
        let Some(slot) = self.slots.get_mut(&id) else { return };
        let usage = &mut self.listeners[slot.listener.0];
        usage.requests -= usize::from(slot.phase == Phase::Serving);
        usage.requests += usize::from(phase == Phase::Serving);
        slot.phase = phase;
        slot.since = now;
    }

    /// What connections hold whose requests are in progress.
    fn serving_bytes(&self) -> usize {
        let serving = self.slots.values().filter(|slot| slot.phase == Phase::Serving);
        serving.map(|slot| slot.held_bytes).sum()
    }

    /// Closes the most expensive connections among those that wait for their clients, until
    /// `is_enough`.
    fn evict(
        &mut self,
        listener: Option<ListenerId>,
        now: Instant,
        is_enough: impl Fn(&Table) -> bool,
    ) {
        let candidates = self
            .slots
            .iter()
            .filter(|(_, slot)| listener.is_none_or(|listener| listener == slot.listener));
        let mut candidates: Vec<(u128, u64)> =
            candidates.filter_map(|(id, slot)| Some((slot.cost(now)?, *id))).collect();
        candidates.sort_unstable();
        while !is_enough(self)
            && let Some((_, id)) = candidates.pop()
        {
            self.close(id);
            self.turned_away.evicted += 1;
        }
    }
}

/// The connections of a process.
#[derive(Clone)]
pub(crate) struct Connections {
    limits: ConnectionLimits,
    table: Arc<Mutex<Table>>,
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits) -> Connections {
        Connections { limits, table: Arc::default() }
    }

    pub(crate) fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    /// Adds a listener.
    pub(crate) fn add_listener(&self, share: Share) -> ListenerId {
        let mut table = self.table();
        table.listeners.push(Usage { share, connections: 0, requests: 0 });
        ListenerId(table.listeners.len() - 1)
    }

    /// Counts a new connection, which is closed by `close` when it has to make room; `None` if there
    /// is no place for it.
    pub(crate) fn open(
        &self,
        listener: ListenerId,
        close: CancellationToken,
        now: Instant,
    ) -> Option<Connection> {
        let limits = self.limits;
        let mut table = self.table();
        let count = |table: &Table| table.listeners[listener.0].connections;
        let max = table.listeners[listener.0].share.connections;
        if max <= count(&table) {
            let enough = max - max.div_ceil(FREED_PART);
            table.evict(Some(listener), now, |table| count(table) <= enough);
        }
        if limits.connections <= table.slots.len() {
            let enough = limits.connections - limits.connections.div_ceil(FREED_PART);
            table.evict(None, now, |table| table.slots.len() <= enough);
        }
        self.free(&mut table, CONNECTION_BYTES, now);
        let has_room = count(&table) < max
            && table.slots.len() < limits.connections
            && table.closing.len() <= limits.connections.div_ceil(CLOSING_PART)
            && self.has_memory(&table, CONNECTION_BYTES);
        if !has_room {
            table.turned_away.refused += 1;
            return None;
        }
        let id = table.next;
        table.next += 1;
        table.listeners[listener.0].connections += 1;
        table.held_bytes += CONNECTION_BYTES;
        let (phase, held_bytes) = (Phase::Idle, CONNECTION_BYTES);
        let slot = Slot { listener, phase, since: now, held_bytes, close: close.clone() };
        table.slots.insert(id, slot);
        drop(table);
        let (is_idle, is_link) = (AtomicBool::new(true), AtomicBool::new(false));
        Some(Connection { connections: self.clone(), id, close, is_idle, is_link })
    }

    /// Closes the connections whose clients are late. Returns what was turned away since the last
    /// call.
    pub(crate) fn close_late(&self, now: Instant) -> TurnedAway {
        let mut table = self.table();
        let ClientLimits { request_time, idle_time, .. } = self.limits.clients;
        let is_late = |slot: &Slot| {
            let waited = now.saturating_duration_since(slot.since);
            match slot.phase {
                Phase::Idle | Phase::Sending => idle_time < waited,
                Phase::Receiving => request_time < waited,
                Phase::Serving => false,
            }
        };
        let late: Vec<u64> =
            table.slots.iter().filter(|(_, slot)| is_late(slot)).map(|(id, _)| *id).collect();
        late.iter().for_each(|id| table.close(*id));
        table.turned_away.late += late.len() as u64;
        std::mem::take(&mut table.turned_away)
    }

    /// Makes memory free for `bytes` more, if connections that wait for their clients hold enough.
    fn free(&self, table: &mut Table, bytes: usize, now: Instant) {
        let max = self.limits.held_bytes;
        if max < table.held_bytes + bytes && table.serving_bytes() + bytes <= max {
            let enough = max.saturating_sub(bytes + max / FREED_PART);
            table.evict(None, now, |table| table.held_bytes <= enough);
        }
    }

    fn has_memory(&self, table: &Table, bytes: usize) -> bool {
        let max = self.limits.held_bytes;
        table.held_bytes + bytes <= max && table.closing_bytes <= max / CLOSING_PART
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection. It is no longer counted once it is dropped.
pub(crate) struct Connection {
    connections: Connections,
    id: u64,
    close: CancellationToken,
    /// Whether no byte of the next request has arrived.
    is_idle: AtomicBool,
    /// Whether the connection carries messages of another node in place of requests.
    is_link: AtomicBool,
}

impl Connection {
    /// Is cancelled when the connection has to be closed.
    pub(crate) fn close_token(&self) -> &CancellationToken {
        &self.close
    }

    /// Records that bytes have arrived. Those of a message are reserved until it has been handled.
    pub(crate) fn note_received(&self, bytes: usize, now: Instant) -> Result<(), Overload> {
        if self.is_idle.swap(false, Ordering::AcqRel) {
            self.connections.table().set_phase(self.id, Phase::Receiving, now);
        }
        match self.is_link.load(Ordering::Acquire) {
            true => self.reserve(bytes, now),
            false => Ok(()),
        }
    }

    /// Reserves memory for a part of a request, until the request has ended.
    pub(crate) fn reserve(&self, bytes: usize, now: Instant) -> Result<(), Overload> {
        let connections = &self.connections;
        let mut table = connections.table();
        connections.free(&mut table, bytes, now);
        let has_room = connections.has_memory(&table, bytes);
        let slot = table.slots.get_mut(&self.id).ok_or(Overload::Closed)?;
        if !has_room {
            table.turned_away.refused += 1;
            return Err(Overload::Memory);
        }
        slot.held_bytes += bytes;
        table.held_bytes += bytes;
        Ok(())
    }

    /// Records that a whole request has arrived, which is carried out from now on.
    pub(crate) fn begin(&self, now: Instant) -> Result<(), Overload> {
        let connections = &self.connections;
        let mut table = connections.table();
        let slot = table.slots.get(&self.id).ok_or(Overload::Closed)?;
        if slot.phase == Phase::Serving {
            return Ok(());
        }
        let usage = &table.listeners[slot.listener.0];
        if usage.share.requests <= usage.requests {
            table.turned_away.refused += 1;
            return Err(Overload::Requests);
        }
        table.set_phase(self.id, Phase::Serving, now);
        Ok(())
    }

    /// Records that the answer to a request is ready, and is to be read by the client.
    pub(crate) fn note_answered(&self, now: Instant) {
        self.connections.table().set_phase(self.id, Phase::Sending, now);
    }

    /// Records that a request or a message has ended.
    pub(crate) fn finish(&self, now: Instant) {
        self.is_idle.store(true, Ordering::Release);
        let mut table = self.connections.table();
        table.set_phase(self.id, Phase::Idle, now);
        if let Some(slot) = table.slots.get_mut(&self.id) {
            let freed = slot.held_bytes - CONNECTION_BYTES;
            slot.held_bytes = CONNECTION_BYTES;
            table.held_bytes -= freed;
        }
    }

    /// Records that the connection carries messages of another node from now on.
    pub(crate) fn become_link(&self) {
        self.is_link.store(true, Ordering::Release);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.table().note_gone(self.id);
    }
}
