//! Orders that other nodes carry out. The owner of a large pool decides on its own; the calls that
//! its decisions need go to other nodes in batches, one link to each, and so do their answers back.
//!
//! Nothing need be agreed for that. An order bears its owner's token and the time until which it
//! counts on the worker's clock, both from when it was decided, so that one that is carried out late
//! does what a call that was held up on its way would do.

pub(crate) mod call;
pub(crate) mod link;
pub(crate) mod serve;
pub(crate) mod wire;

/// The path at which a node takes orders of others, beside the requests that they hand on.
pub(crate) const PATH: &str = "/-/orders";

/// The largest message between two nodes, in bytes: a thousand orders with payloads of 4,000.
const MOST_BYTES: usize = 8 << 20;
