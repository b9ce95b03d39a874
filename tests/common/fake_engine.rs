//! Responses of model engines, with optional faults in their streams.

#![allow(dead_code)]

use {
    super::fake_backend::{Received, Step, respond},
    greengagetrail::{entry::EventId, units::RequestId},
    serde_json::{Value, json},
    std::time::Duration,
};

/// A fault of one stream after the given number of its tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    None,
    Cut(u64),
    Reset(u64),
    Hang(u64),
    Gap(u64),
    Duplicate(u64),
    Foreign(u64),
    Swap(u64),
    EarlyDone(u64),
    EarlyEnd(u64),
    Error(u64),
}

/// Returns a token of the response to a prompt; offsets start at 1.
pub fn token(prompt: &str, offset: u64) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in prompt.bytes().chain(offset.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:x} ")
}

/// Returns the complete text of the response to a prompt.
pub fn response_text(prompt: &str, tokens: u64) -> String {
    (1..=tokens).map(|offset| token(prompt, offset)).collect()
}

fn field(received: &Received, name: &str) -> Value {
    let body: Value = serde_json::from_slice(&received.body).unwrap();
    body[name].clone()
}

/// Responds to a request without faults.
pub fn respond_normally(received: &Received) -> Vec<Step> {
    respond_with_fault(received, StreamFault::None)
}

/// Responds to a request; a streamed response has the fault.
pub fn respond_with_fault(received: &Received, fault: StreamFault) -> Vec<Step> {
    let prompt = field(received, "prompt").as_str().unwrap().to_owned();
    let tokens = field(received, "max_tokens").as_u64().unwrap();
    let id: RequestId = received.header("x-request-id").unwrap().parse().unwrap();
    if field(received, "stream") != json!(true) {
        let body = json!({"choices": [{"text": response_text(&prompt, tokens)}]}).to_string();
        let headers = format!("x-request-id: {id}\r\ncontent-type: application/json\r\n");
        return respond(200, &headers, &body);
    }
    let after = received.header("last-event-id");
    let after = after.map_or(0, |text| text.parse::<EventId>().unwrap().offset);
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-resumable: yes\r\n\
         x-request-id: {id}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let mut steps = vec![Step::send(head)];
    steps.push(chunk(
        ": load waiting=0 running=1 kv_used_permille=5 incarnation=1\n\n",
    ));
    let events = (after + 1..=tokens).map(|offset| event(id, &prompt, offset, tokens));
    let mut events: Vec<String> = events.collect();
    events.push(format!("id: {id}:{tokens}\ndata: [DONE]\n\n"));
    steps.extend(with_fault(events, id, fault));
    steps
}

/// Returns one event of a stream.
pub fn event(id: RequestId, prompt: &str, offset: u64, tokens: u64) -> String {
    let finish = (offset == tokens).then_some("stop");
    let data = json!({"choices": [{"text": token(prompt, offset), "finish_reason": finish}]});
    format!("id: {id}:{offset}\ndata: {data}\n\n")
}

pub fn chunk(text: &str) -> Step {
    Step::send(format!("{:x}\r\n{text}\r\n", text.len()))
}

fn with_fault(events: Vec<String>, id: RequestId, fault: StreamFault) -> Vec<Step> {
    let mut events = events;
    let last = events.len() as u64 - 1;
    let index = |after: u64| after.min(last) as usize;
    let mut ending = vec![Step::send("0\r\n\r\n")];
    match fault {
        StreamFault::None => {}
        StreamFault::Cut(after) => {
            events.truncate(index(after));
            ending = vec![Step::Close];
        }
        StreamFault::Reset(after) => {
            events.truncate(index(after));
            ending = vec![Step::Reset];
        }
        StreamFault::Hang(after) => {
            events.truncate(index(after));
            ending = vec![Step::Hang];
        }
        StreamFault::EarlyEnd(after) => events.truncate(index(after)),
        StreamFault::Gap(after) => {
            if index(after) + 1 < events.len() {
                events.remove(index(after));
            }
        }
        StreamFault::Duplicate(after) => events.insert(index(after), events[0].clone()),
        StreamFault::Foreign(after) => {
            let other = RequestId(id.0 ^ 1);
            let foreign = format!("id: {other}:{}\ndata: {{\"foreign\":1}}\n\n", after + 1);
            events.insert(index(after), foreign);
            events.insert(index(after), format!("id: {other}:3\ndata: [DONE]\n\n"));
            events.insert(index(after), "data: {\"nobody\":1}\n\n".to_owned());
        }
        StreamFault::Swap(after) => {
            let first = index(after).min(events.len().saturating_sub(2));
            events.swap(first, first + 1);
        }
        StreamFault::EarlyDone(after) => {
            events.insert(index(after), "data: [DONE]\n\n".to_owned());
        }
        StreamFault::Error(after) => {
            let error = "data: {\"error\":{\"message\":\"engine\"}}\n\n";
            events.insert(index(after), error.to_owned());
        }
    }
    let mut steps: Vec<Step> = events.iter().map(|text| chunk(text)).collect();
    steps.extend(ending);
    steps
}

/// Refuses a request as not run, because the engine is busy.
pub fn refuse_busy(retry_after_s: u64) -> Vec<Step> {
    let headers = format!("x-request-ran: no\r\nretry-after: {retry_after_s}\r\n");
    respond(429, &headers, "busy")
}

/// Refuses a request as not run, because the engine is leaving.
pub fn refuse_leaving() -> Vec<Step> {
    respond(
        503,
        "x-request-ran: no\r\nx-engine-leaving: yes\r\n",
        "leaving",
    )
}

/// Returns a pause during which other tasks can run.
pub fn short_pause() -> Step {
    Step::Pause(Duration::from_millis(20))
}
