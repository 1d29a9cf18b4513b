//! Reads the platform's list of hosts.

use std::sync::Arc;

use crate::{
    model::unit::Time,
    node::{Node, sync::jittered},
    platform::hosts,
};

/// Polls the list for changes for as long as the node runs.
pub(crate) async fn poll(node: Arc<Node>) {
    let mut next = 0;
    loop {
        let address = node.settings.platform.hosts.as_str();
        let started_at = Time::now();
        let record_bytes = |bytes| node.traffic.record(bytes);
        match hosts::read(&node.client, address, next, node.settings.timing.store, record_bytes)
            .await
        {
            Ok(list) => {
                next = list.next;
                apply_list(&node, list, started_at);
            }
            Err(error) => log::debug!("{error}"),
        }
        tokio::time::sleep(jittered(node.settings.timing.hosts)).await;
    }
}

fn apply_list(node: &Node, list: hosts::HostList, started_at: Time) {
    let changed = !list.hosts.is_empty() || list.whole;
    {
        let mut view = node.view();
        if list.whole {
            view.fleet.reports.clear();
        }
        for report in list.hosts {
            view.fleet.reports.insert(report.host.clone(), report);
        }
        view.fleet.last_received = started_at;
    }
    if changed {
        node.notify_change();
    }
}
