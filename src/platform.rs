//! The platform that the program runs on: its store, its list of hosts and its workers. No other
//! code knows how they are spoken to.

pub(crate) mod hosts;
pub(crate) mod store;
pub(crate) mod worker;
