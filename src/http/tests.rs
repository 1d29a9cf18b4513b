//! Tests of what connections may hold together.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::connections::{
    CONNECTION_BYTES, Connection, ConnectionLimits, Connections, ListenerId, Overload, Share,
};
use crate::settings::clients::ClientLimits;

const SHARE: Share = Share { connections: 100, requests: 2 };

fn connections(connections: usize, held_bytes: usize) -> Connections {
    Connections::new(ConnectionLimits { connections, held_bytes, ..ConnectionLimits::default() })
}

fn open(connections: &Connections, listener: ListenerId, now: Instant) -> Option<Connection> {
    connections.open(listener, CancellationToken::new(), now)
}

fn is_closed(connection: &Connection) -> bool {
    connection.close_token().is_cancelled()
}

#[test]
fn a_new_connection_takes_the_place_of_the_one_that_has_been_idle_for_longest() {
    let connections = connections(2, 100 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let start = Instant::now();
    let old = open(&connections, listener, start).unwrap();
    let newer = open(&connections, listener, start + Duration::from_secs(1)).unwrap();
    let newest = open(&connections, listener, start + Duration::from_secs(2)).unwrap();
    assert_eq!([&old, &newer, &newest].map(is_closed), [true, false, false]);
}

#[test]
fn a_connection_whose_request_is_in_progress_is_never_closed_to_make_room() {
    let connections = connections(2, 100 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let start = Instant::now();
    let serving = [(); 2].map(|()| open(&connections, listener, start).unwrap());
    serving.iter().for_each(|connection| connection.begin(start).unwrap());
    let later = start + Duration::from_secs(60);
    assert!(open(&connections, listener, later).is_none());
    assert_eq!(connections.close_late(later + Duration::from_secs(3_600)).late, 0);
    assert!(!serving.iter().any(is_closed));
}

#[test]
fn a_listener_with_a_share_of_its_own_makes_room_among_its_own_connections() {
    let connections = connections(100, 100 * CONNECTION_BYTES);
    let callers = connections.add_listener(SHARE);
    let probes = connections.add_listener(Share { connections: 1, requests: 1 });
    let start = Instant::now();
    let caller = open(&connections, callers, start).unwrap();
    let later = start + Duration::from_secs(1);
    let probe = open(&connections, probes, later).unwrap();
    let next = open(&connections, probes, later).unwrap();
    assert_eq!([&caller, &probe, &next].map(is_closed), [false, true, false]);
}

#[test]
fn memory_for_a_request_is_taken_from_the_connection_that_holds_most_for_longest() {
    let connections = connections(100, 20 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let start = Instant::now();
    let large = [(); 4].map(|()| {
        let connection = open(&connections, listener, start).unwrap();
        connection.reserve(3 * CONNECTION_BYTES, start).unwrap();
        connection
    });
    let idle = open(&connections, listener, start).unwrap();
    let later = start + Duration::from_millis(100);
    large[0].note_received(1, later).unwrap();
    let small = open(&connections, listener, later).unwrap();
    small.reserve(4 * CONNECTION_BYTES, later).unwrap();
    assert!(!is_closed(&large[0]) && !is_closed(&idle) && !is_closed(&small));
    let closed = large.iter().filter(|connection| is_closed(connection));
    closed.for_each(|connection| assert_eq!(connection.reserve(1, later), Err(Overload::Closed)));
    assert_eq!(large.iter().filter(|connection| is_closed(connection)).count(), 1);
}

#[test]
fn the_memory_of_a_request_is_free_again_once_it_has_ended() {
    let connections = connections(100, 10 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let now = Instant::now();
    let connection = open(&connections, listener, now).unwrap();
    for _ in 0..20 {
        connection.reserve(8 * CONNECTION_BYTES, now).unwrap();
        connection.begin(now).unwrap();
        assert_eq!(connection.reserve(2 * CONNECTION_BYTES, now), Err(Overload::Memory));
        connection.finish(now);
    }
    assert!(!is_closed(&connection));
}

#[test]
fn requests_beyond_the_limit_are_refused_until_others_have_ended() {
    let connections = connections(100, 100 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let now = Instant::now();
    let [one, two, three] = [(); 3].map(|()| open(&connections, listener, now).unwrap());
    one.begin(now).unwrap();
    two.begin(now).unwrap();
    assert_eq!(three.begin(now), Err(Overload::Requests));
    one.note_answered(now);
    assert_eq!(three.begin(now), Ok(()));
    drop(three);
    assert_eq!(one.begin(now), Ok(()));
}

#[test]
fn connections_whose_clients_are_late_are_closed() {
    let connections = connections(100, 100 * CONNECTION_BYTES);
    let ClientLimits { request_time, idle_time, .. } = connections.limits().clients;
    let listener = connections.add_listener(SHARE);
    let start = Instant::now();
    let [idle, receiving] = [(); 2].map(|()| open(&connections, listener, start).unwrap());
    receiving.note_received(1, start).unwrap();
    // A byte now and then does not prolong the time of a request.
    let later = start + request_time + Duration::from_millis(1);
    receiving.note_received(1, later).unwrap();
    assert_eq!(connections.close_late(later).late, 1);
    assert_eq!([&idle, &receiving].map(is_closed), [false, true]);
    assert_eq!(connections.close_late(start + idle_time + Duration::from_millis(1)).late, 1);
    assert!(is_closed(&idle));
}

#[test]
fn a_link_holds_the_bytes_of_a_message_until_that_has_been_handled() {
    let connections = connections(100, 10 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let now = Instant::now();
    let link = open(&connections, listener, now).unwrap();
    link.become_link();
    for _ in 0..20 {
        link.note_received(8 * CONNECTION_BYTES, now).unwrap();
        link.finish(now);
    }
    link.note_received(8 * CONNECTION_BYTES, now).unwrap();
    assert!(link.note_received(8 * CONNECTION_BYTES, now).is_err());
}

#[test]
fn nothing_more_is_taken_in_while_too_much_is_being_closed() {
    let connections = connections(100, 10 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let start = Instant::now();
    let large = open(&connections, listener, start).unwrap();
    large.reserve(8 * CONNECTION_BYTES, start).unwrap();
    let later = start + Duration::from_secs(1);
    let small = open(&connections, listener, later).unwrap();
    assert_eq!(small.reserve(CONNECTION_BYTES, later), Err(Overload::Memory));
    assert!(is_closed(&large));
    drop(large);
    assert_eq!(small.reserve(CONNECTION_BYTES, later), Ok(()));
}

#[test]
fn nobody_makes_room_for_a_request_that_has_none_in_any_case() {
    let connections = connections(100, 10 * CONNECTION_BYTES);
    let listener = connections.add_listener(SHARE);
    let now = Instant::now();
    let [serving, idle, receiving] = [(); 3].map(|()| open(&connections, listener, now).unwrap());
    serving.reserve(5 * CONNECTION_BYTES, now).unwrap();
    serving.begin(now).unwrap();
    assert_eq!(receiving.reserve(5 * CONNECTION_BYTES, now), Err(Overload::Memory));
    assert!(!is_closed(&idle) && !is_closed(&receiving));
}
