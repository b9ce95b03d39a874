//! The allowance of one request.

use {
    super::QuotaExchange, crate::workspaces::WorkspaceName, std::sync::Arc, tokio::time::Instant,
};

/// The allowance that a request used; dropping it gives it back unless the request was sent.
#[derive(Debug)]
pub struct SpentAllowance {
    pub(super) exchange: Arc<QuotaExchange>,
    pub(super) workspace: WorkspaceName,
    pub(super) amount: u64,
    /// When the allowance ends if it is given back.
    pub(super) end: Instant,
    pub(super) is_sent: bool,
}

impl SpentAllowance {
    /// Returns whether the request was, or may have been, sent.
    pub fn is_sent(&self) -> bool {
        self.is_sent
    }

    /// Records whether the request was, or may have been, sent.
    pub fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for SpentAllowance {
    fn drop(&mut self) {
        if !self.is_sent {
            self.exchange
                .give_back(&self.workspace, self.amount, self.end);
        }
    }
}
