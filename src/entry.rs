//! Callers' requests: admission, choice of an endpoint, sending, retries and answers.

pub(crate) mod claims;
pub(crate) mod forward;
pub(crate) mod gate;
pub(crate) mod headers;
pub(crate) mod routes;
pub(crate) mod serve;
