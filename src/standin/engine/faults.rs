//! The fault switches of a stand-in engine.

use serde::{Deserialize, Serialize};

/// The fault switches of a stand-in engine, all off by default.
///
/// A switch that is a number counts down with each order or stream that it hits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Connections are refused.
    pub down: bool,
    /// Requests are taken but never answered.
    pub silent: bool,
    /// The engine is draining: it announces it and takes no new work.
    pub leaving: bool,
    /// How much longer each prompt and token takes, in percent.
    pub slow_percent: u32,
    /// Orders that are lost without effect.
    pub lost_orders: u32,
    /// Orders that take effect but whose answer is lost.
    pub lost_order_answers: u32,
    /// Orders that take effect `late_ms` after their connection broke off.
    pub late_orders: u32,
    /// Orders that arrive a second time after `late_ms`.
    pub doubled_orders: u32,
    /// How late such orders arrive, in milliseconds.
    pub late_ms: u64,
    /// Streams that break off after `fault_after_tokens`.
    pub cut_streams: u32,
    /// Streams that go silent after `fault_after_tokens`.
    pub silent_streams: u32,
    /// Streams with an event of another request after `fault_after_tokens`.
    pub foreign_events: u32,
    /// Streams with an event twice after `fault_after_tokens`.
    pub doubled_events: u32,
    /// Streams with two events in the wrong order after `fault_after_tokens`.
    pub swapped_events: u32,
    /// The tokens before a stream's fault.
    pub fault_after_tokens: u32,
    /// Requests that fail with status 500 after they began to run.
    pub failed_requests: u32,
    /// Cache events that are never published.
    pub lost_events: u32,
}

/// What becomes of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFate {
    /// It is applied and answered.
    Normal,
    /// It has no effect and no answer.
    Lost,
    /// It is applied but not answered.
    AnswerLost,
    /// It is applied late and not answered.
    Late,
    /// It is applied and answered, and arrives once more.
    Doubled,
}

/// What becomes of one stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamFate {
    /// It is whole.
    #[default]
    Normal,
    /// It breaks off.
    Cut,
    /// It goes silent.
    Silent,
    /// It holds an event of another request.
    ForeignEvent,
    /// It holds an event twice.
    DoubledEvent,
    /// It holds two events in the wrong order.
    SwappedEvents,
}

impl EngineFaults {
    /// Decides what becomes of the next order.
    pub fn take_order_fate(&mut self) -> OrderFate {
        if take(&mut self.lost_orders) {
            return OrderFate::Lost;
        }
        if take(&mut self.lost_order_answers) {
            return OrderFate::AnswerLost;
        }
        if take(&mut self.late_orders) {
            return OrderFate::Late;
        }
        if take(&mut self.doubled_orders) {
            return OrderFate::Doubled;
        }
        OrderFate::Normal
    }

    /// Decides what becomes of the next stream.
    pub fn take_stream_fate(&mut self) -> StreamFate {
        if take(&mut self.cut_streams) {
            return StreamFate::Cut;
        }
        if take(&mut self.silent_streams) {
            return StreamFate::Silent;
        }
        if take(&mut self.foreign_events) {
            return StreamFate::ForeignEvent;
        }
        if take(&mut self.doubled_events) {
            return StreamFate::DoubledEvent;
        }
        if take(&mut self.swapped_events) {
            return StreamFate::SwappedEvents;
        }
        StreamFate::Normal
    }

    /// Decides whether the next request fails after it began to run.
    pub fn take_failed_request(&mut self) -> bool {
        take(&mut self.failed_requests)
    }

    /// Decides whether the next cache event is lost.
    pub fn take_lost_event(&mut self) -> bool {
        take(&mut self.lost_events)
    }
}

/// Counts a switch down; returns whether it was on.
fn take(switch: &mut u32) -> bool {
    let on = *switch > 0;
    *switch = switch.saturating_sub(1);
    on
}
