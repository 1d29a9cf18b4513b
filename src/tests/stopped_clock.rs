//! A clock of the runtime that moves only when a test moves it, beside real sockets.

use std::sync::mpsc::{Sender, channel};

/// Stops the runtime's clock until the test ends.
pub(crate) struct StoppedClock {
    _held: Sender<()>,
}

impl StoppedClock {
    pub(crate) fn new() -> StoppedClock {
        tokio::time::pause();
        // While there is a blocking task, the runtime does not move a paused clock by itself, which
        // it does whenever it waits for nothing but sockets and timers.
        let (held, ended) = channel::<()>();
        tokio::task::spawn_blocking(move || ended.recv());
        StoppedClock { _held: held }
    }
}
