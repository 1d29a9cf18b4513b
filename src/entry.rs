//! Callers' requests: taking them, choosing endpoints, sending, retrying and answering.

pub(crate) mod forward;
pub(crate) mod gate;
pub(crate) mod headers;
pub(crate) mod once;
pub(crate) mod routes;
pub(crate) mod serve;
