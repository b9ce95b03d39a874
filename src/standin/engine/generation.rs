//! One request in a stand-in engine, from the queue to its last token.

use {
    super::{BatchSlot, StandinEngine, StreamFate},
    crate::{
        standin::{BrokenOff, ReferenceText},
        units::{Incarnation, RequestId},
    },
    std::{future::pending, ops::Range, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until},
    },
};

/// The time for written events to leave before a stream breaks off.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerateRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The model or adapter, as callers name it.
    pub name: String,
    /// The prompt.
    pub prompt: String,
    /// The tokens of the whole answer.
    pub tokens: u32,
    /// The tokens that the caller already has.
    pub skip: u32,
    /// Lower goes first.
    pub priority: u8,
}

/// Why a request does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum GenerateRefusal {
    /// The model or adapter is not in memory.
    #[error("the model is not in memory")]
    NotResident,
    /// Too many requests wait.
    #[error("too many requests wait")]
    Busy,
    /// The engine is leaving.
    #[error("the engine is leaving")]
    Leaving,
    /// The engine cannot resume streams.
    #[error("streams cannot be resumed here")]
    NotResumable,
}

/// A request that was accepted; dropping it before its end cancels it.
#[derive(Debug)]
pub struct Generation {
    engine: StandinEngine,
    request: GenerateRequest,
    start: Incarnation,
    starts: watch::Receiver<Incarnation>,
    slot: Option<BatchSlot>,
    at: u32,
    due: Instant,
    fate: StreamFate,
    fault_at: u32,
}

impl StandinEngine {
    /// Accepts a request, or refuses it without running it.
    ///
    /// # Errors
    ///
    /// Refuses a request while it drains, its queue is full or the model is not resident, and a
    /// resumption that it does not support.
    pub fn generate(&self, request: GenerateRequest) -> Result<Generation, GenerateRefusal> {
        if let Err(refusal) = self.admit(&request) {
            self.state().record.refused += 1;
            return Err(refusal);
        }
        let starts = self.starts();
        let start = *starts.borrow();
        let mut faults = self.faults_mut();
        Ok(Generation {
            engine: self.clone(),
            start,
            starts,
            slot: None,
            at: request.skip,
            due: Instant::now(),
            fate: faults.take_stream_fate(),
            fault_at: request.skip + faults.fault_after_tokens,
            request,
        })
    }

    fn admit(&self, request: &GenerateRequest) -> Result<(), GenerateRefusal> {
        if self.faults().leaving {
            return Err(GenerateRefusal::Leaving);
        }
        if request.skip > 0 && !self.settings().resumable {
            return Err(GenerateRefusal::NotResumable);
        }
        if self.queue().waiting() >= self.settings().waiting_max {
            return Err(GenerateRefusal::Busy);
        }
        if !self.state().residents.start_request(&request.name) {
            return Err(GenerateRefusal::NotResident);
        }
        Ok(())
    }
}

impl Generation {
    /// Returns the request.
    pub fn request(&self) -> &GenerateRequest {
        &self.request
    }

    /// Returns the engine that runs the request.
    pub fn engine(&self) -> &StandinEngine {
        &self.engine
    }

    /// Returns the text of the whole answer.
    pub fn text(&self) -> ReferenceText {
        ReferenceText::new(&self.request.name, &self.request.prompt)
    }

    /// Waits for the next tokens; returns `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails when the engine was started anew or a fault switch breaks the stream off.
    pub async fn next(&mut self) -> Result<Option<Range<u32>>, BrokenOff> {
        if self.starts.has_changed().unwrap_or(true) {
            return Err(BrokenOff);
        }
        if self.at >= self.request.tokens {
            self.slot = None;
            return Ok(None);
        }
        if self.slot.is_none() {
            self.enter_batch().await?;
        }
        if self.at >= self.fault_at {
            match self.fate {
                StreamFate::Cut => return self.break_off().await,
                StreamFate::Silent => return pending().await,
                _ => {}
            }
        }
        let settings = self.engine.settings();
        let to = self
            .request
            .tokens
            .min(self.at + settings.tokens_per_event.max(1));
        let running = match settings.token_us_per_sequence {
            0 => 1,
            _ => self.engine.queue().running(),
        };
        let time = settings.decode_time(to - self.at, running);
        self.spend(time).await?;
        let from = self.at;
        self.at = to;
        Ok(Some(from..to))
    }

    /// Returns the fault that the stream has from token `at` on.
    pub(super) fn fate_at(&self, at: u32) -> StreamFate {
        if at >= self.fault_at {
            self.fate
        } else {
            StreamFate::Normal
        }
    }

    /// Marks the stream's fault as done.
    pub(super) fn clear_fate(&mut self) {
        self.fate = StreamFate::Normal;
    }

    /// Breaks the stream off once what was written before had time to leave.
    async fn break_off(&self) -> Result<Option<Range<u32>>, BrokenOff> {
        sleep(FLUSH_TIME).await;
        Err(BrokenOff)
    }

    async fn enter_batch(&mut self) -> Result<(), BrokenOff> {
        let slot = tokio::select! {
            slot = self.engine.queue().enter(self.request.priority) => slot,
            _ = self.starts.changed() => return Err(BrokenOff),
        };
        self.slot = Some(slot);
        self.due = Instant::now();
        let prefill = self.note_start();
        self.spend(prefill).await
    }

    /// Records the start and returns how long the prompt takes.
    fn note_start(&self) -> Duration {
        let leaving = self.engine.faults().leaving;
        let lost = self.engine.faults_mut().take_lost_event();
        let settings = self.engine.settings();
        let mut state = self.engine.state();
        if self.request.skip == 0 {
            state.record.add_run(self.request.id, settings.records_runs);
            state.record.runs_while_leaving += u64::from(leaving);
        } else {
            state.record.resumed += 1;
        }
        let used = state
            .cache
            .use_prompt(&self.request.name, &self.request.prompt);
        state.record.prompt_tokens += u64::from(used.tokens);
        state.record.prompt_tokens_cached += u64::from(used.tokens_cached);
        let time = settings.prefill_time(used.tokens.saturating_sub(used.tokens_cached));
        state.events.add(used, lost);
        time
    }

    /// Sleeps; the overrun of a late timer is deducted from later sleeps.
    async fn spend(&mut self, time: Duration) -> Result<(), BrokenOff> {
        if time.is_zero() {
            return Ok(());
        }
        let slow_percent = self.engine.faults().slow_percent;
        self.due += time + time * slow_percent / 100;
        tokio::select! {
            () = sleep_until(self.due) => Ok(()),
            _ = self.starts.changed() => Err(BrokenOff),
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        if state.incarnation != self.start {
            return;
        }
        state.residents.end_request(&self.request.name);
        state.record.tokens += u64::from(self.at - self.request.skip);
        state.record.cancelled += u64::from(self.at < self.request.tokens);
    }
}
