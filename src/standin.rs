//! Small stand-ins for the systems that the program works with: the platform's store and list of
//! hosts, workers, and endpoints. They speak the real protocols over real sockets, and inject
//! faults on request. Only `main`, `measure`, `demo` and tests use them.

pub(crate) mod endpoint;
pub(crate) mod kv;
pub(crate) mod platform;
pub(crate) mod site;
pub(crate) mod worker;
