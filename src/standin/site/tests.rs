//! Tests of the stand-in's store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::{sync::watch, time::sleep};

use super::{Counted, Faults, Site, State, log::Log, store};

/// A watch that ended between a change and its notification answered with the revision of the
/// change but without the change. A node then waited for ever for the end of another node's
/// ownership.
#[tokio::test]
async fn an_ending_watch_includes_a_change_before_its_notification() {
    let state = State {
        started_at: Instant::now(),
        store: store::Store::default(),
        workers: Vec::new(),
        faults: Faults::default(),
        dropped: Vec::new(),
        counted: Counted::default(),
        received: BTreeMap::new(),
        log: Log::default(),
    };
    let site = Site { state: Arc::new(Mutex::new(state)), changed: watch::channel(0).0 };
    let wait = Duration::from_millis(200);
    let watching = store::watch(&site, "ch/", 0, wait);
    let change = async {
        sleep(wait / 2).await;
        site.state().store.put("ch/owner", Vec::new(), 0);
    };
    let (answer, ()) = tokio::join!(watching, change);
    let body = answer.into_body().into_bytes().await.unwrap();
    let body: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body["events"][0]["private_key"], "ch/owner", "{body}");
}
