//! Processes that cannot reach the workers of an availability zone, as if the link between two zones
//! were cut.

use std::{fs, net::SocketAddr};

use poem::{Request, Response, http::StatusCode};
use serde::Deserialize;

use super::{MAX_BODY_BYTES, Site};
use crate::http;

/// The sockets of all processes, with their inodes.
const SOCKETS: &str = "/proc/net/tcp";

/// Position of a socket's inode in its line.
const INODE_FIELD: usize = 9;

/// Processes whose orders do not reach the workers of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct CutLink {
    pub(super) zone: String,
    pub(super) processes: Vec<u32>,
}

/// Sets all cut links.
pub(super) async fn set(site: &Site, request: &mut Request) -> Response {
    match http::read_json::<Vec<CutLink>>(request, MAX_BODY_BYTES).await {
        Ok(links) => {
            site.state().cut_links = links;
            http::text(StatusCode::OK, "")
        }
        Err(error) => http::text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

/// Whether the link between the process at the other end of a connection and a zone is cut.
pub(super) fn is_cut(
    links: &[CutLink],
    zone: &str,
    (caller, worker): (SocketAddr, SocketAddr),
) -> bool {
    let links: Vec<&CutLink> = links.iter().filter(|link| link.zone == zone).collect();
    if links.is_empty() {
        return false;
    }
    let Some(inode) = inode(caller, worker) else {
        return false;
    };
    links.iter().flat_map(|link| &link.processes).any(|process| holds(*process, &inode))
}

/// The inode of the local socket at one end of a connection.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let ends = [local, remote].map(|address| format!(":{:04X}", address.port()));
    let sockets = fs::read_to_string(SOCKETS).ok()?;
    sockets.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields.get(1)?.ends_with(&ends[0]) && fields.get(2)?.ends_with(&ends[1]);
        is_it.then(|| fields.get(INODE_FIELD).map(|inode| format!("socket:[{inode}]")))?
    })
}

/// Whether a process has a socket open.
fn holds(process: u32, inode: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    let mut links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    links.any(|link| link.to_str() == Some(inode))
}
