//! Makes one call and judges its answer.

use {
    super::{
        AnswerTimes, Arrival, CallKind, ClassSpec, LoadClient, Outcome, StreamVerifier,
        WrongAnswer, make_request, verify_whole,
    },
    crate::standin::ReferenceText,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Response, StatusCode, body::Incoming},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
};

/// The members of a problem document that the report uses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    #[serde(rename = "type")]
    kind: String,
    outcome: String,
}

/// Makes one call; its times count from `start`, when it was due.
pub async fn call(
    client: &LoadClient,
    address: SocketAddr,
    arrival: &Arrival,
    class: &ClassSpec,
    start: Instant,
    longest: Duration,
) -> Outcome {
    let exchange = exchange(client, address, arrival, class, start);
    let answer = timeout(longest, exchange).await;
    answer.unwrap_or_else(|_| Outcome::Failed("timeout".to_owned()))
}

async fn exchange(
    client: &LoadClient,
    address: SocketAddr,
    arrival: &Arrival,
    class: &ClassSpec,
    start: Instant,
) -> Outcome {
    let Some(request) = make_request(address, arrival, class) else {
        return Outcome::Refused("invalid request".to_owned());
    };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(cause) if cause.is_connect() => return Outcome::Refused("no connection".to_owned()),
        Err(_) => return Outcome::Failed("broken connection".to_owned()),
    };
    if response.status() != StatusCode::OK {
        return read_refusal(response).await;
    }
    match arrival.kind {
        CallKind::Stream => read_stream(response, arrival, start).await,
        CallKind::Whole => read_whole(response, arrival, start).await,
        CallKind::Booking | CallKind::Read => read_plain(response, start).await,
    }
}

async fn read_refusal(response: Response<Incoming>) -> Outcome {
    let status = response.status().as_u16();
    let body = match read_body(response).await {
        Ok(body) => body,
        Err(failure) => return failure,
    };
    let problem: ProblemBody = serde_json::from_slice(&body).unwrap_or_default();
    let kind = problem.kind.rsplit(':').next().unwrap_or_default();
    let reason = format!("{status} {kind}");
    match problem.outcome.as_str() {
        "not-run" => Outcome::Refused(reason),
        _ => Outcome::Failed(reason),
    }
}

async fn read_stream(response: Response<Incoming>, arrival: &Arrival, start: Instant) -> Outcome {
    let expected = ReferenceText::new(&arrival.name, &arrival.prompt);
    let mut verifier = StreamVerifier::new(expected, arrival.tokens);
    let mut body = response.into_body();
    let mut first = None;
    let mut last = start;
    let mut gaps = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Failed("broken stream".to_owned());
        };
        let tokens = match verifier.take(frame.data_ref().map_or(&[], |data| data.as_ref())) {
            Ok(tokens) => tokens,
            Err(wrong) => return Outcome::Wrong(wrong),
        };
        if tokens == 0 {
            continue;
        }
        let now = Instant::now();
        match first {
            None => first = Some(now - start),
            Some(_) => gaps.push((now - last, tokens)),
        }
        last = now;
    }
    match verifier.finish() {
        Ok(true) => Outcome::Answered(AnswerTimes {
            first: first.unwrap_or_else(|| start.elapsed()),
            whole: last - start,
            gaps,
            tokens: verifier.received(),
        }),
        Ok(false) => Outcome::Failed("stream without end".to_owned()),
        Err(wrong) => Outcome::Wrong(wrong),
    }
}

async fn read_whole(response: Response<Incoming>, arrival: &Arrival, start: Instant) -> Outcome {
    let body = match read_body(response).await {
        Ok(body) => body,
        Err(failure) => return failure,
    };
    let expected = ReferenceText::new(&arrival.name, &arrival.prompt);
    match verify_whole(expected, arrival.tokens, &body) {
        Ok(()) => answered_at_once(start, arrival.tokens),
        Err(wrong) => Outcome::Wrong(wrong),
    }
}

async fn read_plain(response: Response<Incoming>, start: Instant) -> Outcome {
    match read_body(response).await {
        Ok(body) if body.is_empty() => Outcome::Wrong(WrongAnswer::Short),
        Ok(_) => answered_at_once(start, 0),
        Err(failure) => failure,
    }
}

fn answered_at_once(start: Instant, tokens: u32) -> Outcome {
    let whole = start.elapsed();
    Outcome::Answered(AnswerTimes {
        first: whole,
        whole,
        gaps: Vec::new(),
        tokens,
    })
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, Outcome> {
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| Outcome::Failed("broken answer".to_owned()))?;
    Ok(body.to_bytes())
}
