//! The wait of a queued request for its assignment.

use {
    super::{Refused, board_shared::BoardShared, wait_queue::Answer},
    crate::traffic::ServiceId,
    std::sync::Arc,
    tokio::{
        sync::oneshot,
        time::{Instant, sleep_until},
    },
};

/// A queued request that awaits its result; dropping it withdraws the request.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) service: ServiceId,
    pub(super) id: u64,
    pub(super) look_at: Instant,
    pub(super) receiver: oneshot::Receiver<Answer>,
    pub(super) board: Arc<BoardShared>,
}

/// The result of a new decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The result was already sent.
    Answered,
    /// The request waits until the next decision.
    Wait(Instant),
    /// The request is refused.
    Refuse(Refused),
}

impl Waiting {
    /// Waits for the assignment or the refusal.
    pub(super) async fn answer(mut self) -> Answer {
        loop {
            tokio::select! {
                biased;
                answer = &mut self.receiver => return answer.unwrap_or(Err(Refused::SOON)),
                () = sleep_until(self.look_at) => {}
            }
            match self.board.look(&self.service, self.id, Instant::now()) {
                Verdict::Answered => {
                    return (&mut self.receiver).await.unwrap_or(Err(Refused::SOON));
                }
                Verdict::Wait(until) => self.look_at = until,
                Verdict::Refuse(refused) => return Err(refused),
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.board.withdraw(&self.service, self.id);
    }
}
