//! Tests of what is spoken to the platform, over real sockets.

mod peer;
mod sockets;
