//! What one client may use of a node: settings that all kinds of nodes have.

use std::time::Duration;

use crate::settings::reader::Section;

/// Limits on each client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ClientLimits {
    /// Maximum size of a request's head, in bytes.
    pub(crate) head_bytes: usize,
    /// The time within which a request must arrive, from its first byte to its last.
    pub(crate) request_time: Duration,
    /// How long a connection may be open without a request.
    pub(crate) idle_time: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            head_bytes: 16 * 1024,
            request_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(600),
        }
    }
}

/// Reads the limits from a section that may have others as well.
pub(super) fn limits(section: &Section<'_>) -> Option<ClientLimits> {
    let default = ClientLimits::default();
    let head_bytes = section.number_or("head_bytes", 8_192..=1_048_576, default.head_bytes as u64);
    let request_time = section.millis_or("request_ms", 100..=3_600_000, default.request_time);
    let idle_time = section.millis_or("idle_ms", 100..=86_400_000, default.idle_time);
    Some(ClientLimits {
        head_bytes: head_bytes? as usize,
        request_time: request_time?,
        idle_time: idle_time?,
    })
}
