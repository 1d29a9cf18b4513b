//! Tests of the platform's clients over real sockets, and of the parsing of the platform's answers.

mod late_node;
mod scripted_server;
mod silent_connections;
mod sockets;

use serde_json::json;

use super::machines::listed;
use crate::model::worker::HostPhase;

/// Guards against two faults: one invalid row made the whole list fail, and a host whose pool was
/// no valid name counted as removed, so that its drain mark was deleted and its maintenance counted
/// as finished.
#[test]
fn a_host_with_an_invalid_row_is_listed_as_down() {
    let good = json!({ "machine": "h1", "pool": "p", "state": "up", "id": "w1" });
    assert_eq!(listed(good).map(|host| host.phase), Some(HostPhase::Up));
    let rows = [
        json!({ "machine": "h1" }),
        json!({ "machine": "h1", "pool": 4, "state": "up" }),
        json!({ "machine": "h1", "pool": "a/b", "state": "up" }),
        json!({ "machine": "h1", "pool": "p", "state": null }),
        json!({ "machine": "h1", "pool": "p", "state": "up", "labels": "a" }),
        json!({ "machine": "h1", "pool": "p", "state": "asleep" }),
    ];
    for row in rows {
        let host = listed(row.clone()).unwrap_or_else(|| panic!("{row} names a host"));
        assert_eq!((host.host.as_str(), host.phase), ("h1", HostPhase::Down), "{row}");
    }
    for row in [json!({}), json!([]), json!({ "machine": 1, "pool": "p", "state": "up" })] {
        assert!(listed(row).is_none());
    }
}
