//! Orders that other nodes, the delegates, carry out. The owner of a large pool decides alone; the
//! calls that its decisions need go to delegates in batches over one link each, and the results
//! come back the same way.
//!
//! This needs no agreement between nodes. An order carries its owner's token and the time on the
//! worker's clock until which it is valid, both set when it was decided, so that an order carried
//! out late has the effect of a call that was delayed on the network.

pub(crate) mod answer_delays;
pub(crate) mod call;
pub(crate) mod link;
pub(crate) mod serve;
pub(crate) mod wire;

/// The path at which a node accepts orders of others, on the listener for relayed requests.
pub(crate) const ORDERS_PATH: &str = "/-/orders";

/// The largest message between two nodes: a thousand orders with payloads of 4,000 bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
