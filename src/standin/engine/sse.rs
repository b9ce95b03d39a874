//! Writes the events of a streamed answer.

use {
    super::{Generation, Interface, StreamFate},
    crate::standin::{BrokenOff, ReferenceText},
    bytes::{BufMut, Bytes, BytesMut},
    hyper::body::Frame,
    std::{ops::Range, time::Duration},
    tokio::time::Instant,
};

/// The time between two comments with the load, in milliseconds.
const LOAD_INTERVAL_MS: u64 = 250;
/// The last event of a whole stream.
const DONE: &[u8] = b"data: [DONE]\n\n";
/// A token that belongs to no request.
const FOREIGN_NAME: &str = "another-request";

/// The events of one answer.
#[derive(Debug)]
pub(super) struct EventStream {
    generation: Generation,
    format: EventFormat,
    load_due: Instant,
    ended: bool,
}

impl EventStream {
    pub(super) fn new(generation: Generation, interface: Interface) -> Self {
        let format = EventFormat::new(&generation, interface);
        Self {
            generation,
            format,
            load_due: Instant::now() + Duration::from_millis(LOAD_INTERVAL_MS),
            ended: false,
        }
    }

    /// Returns the next frame of the body; `None` after the last one.
    pub(super) async fn next(&mut self) -> Option<Result<Frame<Bytes>, BrokenOff>> {
        if self.ended {
            return None;
        }
        let events = self.next_events().await;
        self.ended |= events.is_err();
        Some(events.map(Frame::data))
    }

    async fn next_events(&mut self) -> Result<Bytes, BrokenOff> {
        let mut out = BytesMut::new();
        let Some(tokens) = self.generation.next().await? else {
            self.ended = true;
            return Ok(Bytes::from_static(DONE));
        };
        self.write_load(&mut out);
        match self.generation.fate_at(tokens.start) {
            StreamFate::Normal | StreamFate::Cut | StreamFate::Silent => {
                self.format.write(&mut out, tokens);
                return Ok(out.freeze());
            }
            StreamFate::ForeignEvent => {
                self.format.write_foreign(&mut out, tokens.clone());
                self.format.write(&mut out, tokens);
            }
            StreamFate::DoubledEvent => {
                self.format.write(&mut out, tokens.clone());
                self.format.write(&mut out, tokens);
            }
            StreamFate::SwappedEvents => {
                if let Some(later) = self.generation.next().await? {
                    self.format.write(&mut out, later);
                }
                self.format.write(&mut out, tokens);
            }
        }
        self.generation.clear_fate();
        Ok(out.freeze())
    }

    fn write_load(&mut self, out: &mut BytesMut) {
        let now = Instant::now();
        if now < self.load_due {
            return;
        }
        self.load_due = now + Duration::from_millis(LOAD_INTERVAL_MS);
        let load = self.generation.engine().load_text();
        out.put_slice(format!(": load {load}\n\n").as_bytes());
    }
}

/// The parts of an event that stay the same throughout an answer.
#[derive(Debug)]
struct EventFormat {
    id: String,
    head: String,
    tail: &'static str,
    last_tail: &'static str,
    text: ReferenceText,
    tokens: u32,
}

impl EventFormat {
    fn new(generation: &Generation, interface: Interface) -> Self {
        let request = generation.request();
        let id = request.id;
        let model = serde_json::Value::from(request.name.as_str());
        let (head, tail, last_tail) = match interface {
            Interface::Completions => (
                format!(
                    r#"{{"id":"cmpl-{id}","object":"text_completion","created":0,"model":{model},"choices":[{{"index":0,"logprobs":null,"text":""#
                ),
                r#"","finish_reason":null}]}"#,
                r#"","finish_reason":"length"}]}"#,
            ),
            Interface::Chat => (
                format!(
                    r#"{{"id":"chatcmpl-{id}","object":"chat.completion.chunk","created":0,"model":{model},"choices":[{{"index":0,"delta":{{"role":"assistant","content":""#
                ),
                r#""},"finish_reason":null}]}"#,
                r#""},"finish_reason":"length"}]}"#,
            ),
        };
        Self {
            id: id.to_string(),
            head,
            tail,
            last_tail,
            text: generation.text(),
            tokens: request.tokens,
        }
    }

    fn write(&self, out: &mut BytesMut, tokens: Range<u32>) {
        self.write_as(out, &self.id, self.text, tokens);
    }

    fn write_foreign(&self, out: &mut BytesMut, tokens: Range<u32>) {
        let id: String = self.id.chars().rev().collect();
        self.write_as(out, &id, ReferenceText::new(FOREIGN_NAME, &self.id), tokens);
    }

    fn write_as(&self, out: &mut BytesMut, id: &str, text: ReferenceText, tokens: Range<u32>) {
        let last = tokens.end == self.tokens;
        let offset = tokens.end.to_string();
        for part in ["id: ", id, ":", &offset, "\ndata: ", &self.head] {
            out.put_slice(part.as_bytes());
        }
        for at in tokens {
            out.put_slice(&text.token(at));
        }
        let tail = if last { self.last_tail } else { self.tail };
        out.put_slice(tail.as_bytes());
        out.put_slice(b"\n\n");
    }
}
