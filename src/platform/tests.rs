//! Tests of what is spoken to the platform, over real sockets, and of what is read of its answers.

mod peer;
mod silence;
mod sockets;

use serde_json::json;

use super::machines::listed;
use crate::model::worker::HostPhase;

/// One row that could not be read hid the whole list, and one with a pool that is no name had its
/// host taken for gone for good: its mark was removed, and it counted as back from upkeep.
#[test]
fn a_host_whose_row_is_not_understood_is_there_and_left_alone() {
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
