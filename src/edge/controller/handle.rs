//! The handle by which other threads call the control thread.

use crate::edge::controller;
use crate::fence;
use crate::lifecycle;
use crate::names;
use crate::peer;
use crate::record;
use crate::replay;
use crate::report;

/// A handle to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    recipient: actix::Recipient<controller::ControlRequest>,
}

impl ControlHandle {
    /// Creates a handle.
    #[must_use]
    pub const fn new(recipient: actix::Recipient<controller::ControlRequest>) -> Self {
        Self { recipient }
    }

    async fn call<Resp>(
        &self,
        request: impl FnOnce(tokio::sync::oneshot::Sender<Resp>) -> controller::ControlRequest,
    ) -> Option<Resp> {
        let (sender, receiver) = tokio::sync::oneshot::channel();
        self.recipient.do_send(request(sender));
        receiver.await.ok()
    }

    /// Responds to another entry host; `None` if the control thread has ended.
    pub async fn exchange(&self, request: peer::ExchangeRequest) -> Option<peer::ExchangeReply> {
        let request = Box::new(request);
        self.call(|sender| controller::ControlRequest::Exchange(request, sender))
            .await
    }

    /// Submits a patch and waits for its verdict; `None` if it is not known within
    /// [`VERDICT_TIMEOUT_MS`](controller::VERDICT_TIMEOUT_MS).
    pub async fn submit(&self, record: record::LogRecord) -> Option<replay::PatchVerdict> {
        self.call(|sender| controller::ControlRequest::Submit(record, sender))
            .await
    }

    /// Returns the status of a patch; `None` if the host knows no verdict on it.
    pub async fn patch_status(&self, id: names::RecordId) -> Option<controller::PatchStatus> {
        let status = self
            .call(|sender| controller::ControlRequest::PatchStatus(id, sender))
            .await;
        status.flatten()
    }

    /// Returns the fence under which a shard is assigned in the log; `None` if it is not assigned
    /// there.
    pub async fn assigned_fence(&self, shard: names::ShardId) -> Option<fence::GrantFence> {
        let fence = self.call(|sender| controller::ControlRequest::AssignedFence(shard, sender));
        fence.await.flatten()
    }

    /// Reports the load of each shard.
    pub fn note_loads(&self, loads: Vec<peer::ShardLoad>) {
        self.recipient
            .do_send(controller::ControlRequest::Loads(loads));
    }

    /// Returns the host's status; `None` if the control thread has ended.
    pub async fn status(&self) -> Option<report::HostStatus> {
        self.call(controller::ControlRequest::Status).await
    }

    /// Begins to stop; returns the actions that the chart `host` asks for.
    pub async fn stop(&self) -> Vec<lifecycle::HostAction> {
        self.call(controller::ControlRequest::Stop)
            .await
            .unwrap_or_default()
    }
}
