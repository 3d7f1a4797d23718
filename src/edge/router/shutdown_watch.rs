//! How the threads of a host learn of its shutdown.

use std::future;

use crate::clock;
use crate::clock::MonoClock as _;
use crate::serving::shutdown;

/// What a host's threads know of its shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownWatch {
    times: tokio::sync::watch::Receiver<Option<shutdown::ShutdownTimes>>,
}

/// Begins the shutdown, for every watch that was created with it.
pub type ShutdownSender = tokio::sync::watch::Sender<Option<shutdown::ShutdownTimes>>;

impl ShutdownWatch {
    /// Creates the watch of a host that is not stopping, and the sender that begins its shutdown.
    #[must_use]
    pub fn new() -> (ShutdownSender, Self) {
        let (sender, times) = tokio::sync::watch::channel(None);
        (sender, Self { times })
    }

    /// Returns the times of the shutdown once it has begun.
    #[must_use]
    pub fn times(&self) -> Option<shutdown::ShutdownTimes> {
        *self.times.borrow()
    }

    /// Waits until the shutdown has begun; forever where the host is dropped instead.
    pub async fn begun(&self) -> shutdown::ShutdownTimes {
        let mut receiver = self.times.clone();
        let times = receiver.wait_for(Option::is_some).await;
        let times = times.map_or(None, |times| *times);
        match times {
            Some(times) => times,
            None => future::pending().await,
        }
    }

    /// Waits until the time by which each request has its response.
    pub async fn ended(&self, clock: &clock::SystemClock) {
        let times = self.begun().await;
        tokio::time::sleep(times.ends_at.since(clock.now())).await;
    }
}
