//! Step 5: which node makes the call to a worker.

use std::fmt;

/// A node that can make the calls of an owner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Caller {
    /// The owner's node.
    Own,
    /// Another node, by its name.
    Node(String),
}

impl fmt::Display for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Caller::Own => f.write_str("this node"),
            Caller::Node(name) => write!(f, "node {name}"),
        }
    }
}

/// The paths from an owner to a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Paths<'a> {
    /// The worker's delegate, or else the owner's node.
    pub(crate) usual: &'a Caller,
    /// The path by which the worker answered while others failed.
    pub(crate) kept: Option<&'a Caller>,
    /// Other nodes that may reach the worker, the preferred first.
    pub(crate) detours: &'a [Caller],
    /// Whether the owner's node calls the worker itself before other nodes are tried.
    pub(crate) own_first: bool,
}

/// The node that makes the call; `None` if no path is usable.
pub(crate) fn via<'a>(paths: Paths<'a>, is_usable: impl Fn(&Caller) -> bool) -> Option<&'a Caller> {
    let Paths { usual, kept, detours, own_first } = paths;
    let own = |now: bool| now.then_some(&Caller::Own);
    std::iter::once(usual)
        .chain(kept)
        .chain(own(own_first))
        .chain(detours)
        .chain(own(!own_first))
        .find(|caller| is_usable(caller))
}
