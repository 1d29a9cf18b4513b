//! Tests of the stand-in's store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::{sync::watch, time::sleep};

use super::{Counted, Faults, Site, State, log::Log, store};

/// Found by CI beside load: a watch that ended between a change and its note told the revision of
/// the change without the change, and a node waited for ever for the end of another's ownership.
#[tokio::test]
async fn a_watch_that_ends_tells_of_a_change_that_was_not_noted_yet() {
    let state = State {
        began: Instant::now(),
        store: store::Store::default(),
        workers: Vec::new(),
        faults: Faults::default(),
        unheard: Vec::new(),
        counted: Counted::default(),
        heard: BTreeMap::new(),
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
