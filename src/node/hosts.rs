//! Reads the platform's list of hosts.

use std::sync::Arc;

use crate::{
    model::unit::Time,
    node::{Node, sync::jittered},
    platform::hosts,
};

/// Reads what changed in the list for as long as the node runs.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut next = 0;
    loop {
        let address = node.settings.platform.hosts.as_str();
        let began = Time::now();
        let note = |bytes| node.traffic.note(bytes);
        match hosts::read(&node.client, address, next, node.settings.timing.store, note).await {
            Ok(list) => {
                next = list.next;
                take_in(&node, list, began);
            }
            Err(error) => log::debug!("{error}"),
        }
        tokio::time::sleep(jittered(node.settings.timing.hosts)).await;
    }
}

fn take_in(node: &Node, list: hosts::HostList, began: Time) {
    let changed = !list.hosts.is_empty() || list.whole;
    {
        let mut view = node.view();
        if list.whole {
            view.fleet.reports.clear();
        }
        for report in list.hosts {
            view.fleet.reports.insert(report.host.clone(), report);
        }
        view.fleet.heard = began;
    }
    if changed {
        node.note_change();
    }
}
