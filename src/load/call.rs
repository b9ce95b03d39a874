//! Sends one request and verifies its response.

use {
    super::{
        Arrival, CallKind, ClassSpec, InvalidResponse, LoadClient, RequestOutcome, ResponseTimes,
        StreamVerifier, build_request, verify_response,
    },
    crate::standin::ReferenceText,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Response, StatusCode, body::Incoming},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout},
};

/// The members of a problem document (RFC 9457) that the report uses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ProblemBody {
    #[serde(rename = "type")]
    kind: String,
    outcome: String,
}

/// Sends the request of an arrival and verifies the response.
///
/// Response times count from `start`, the scheduled time. After `max_wait` the request counts as
/// failed.
pub async fn call(
    client: &LoadClient,
    address: SocketAddr,
    arrival: &Arrival,
    class: &ClassSpec,
    start: Instant,
    max_wait: Duration,
) -> RequestOutcome {
    let exchange = send_and_verify(client, address, arrival, class, start);
    let outcome = timeout(max_wait, exchange).await;
    outcome.unwrap_or_else(|_| RequestOutcome::Failed("timeout".to_owned()))
}

async fn send_and_verify(
    client: &LoadClient,
    address: SocketAddr,
    arrival: &Arrival,
    class: &ClassSpec,
    start: Instant,
) -> RequestOutcome {
    let Some(request) = build_request(address, arrival, class) else {
        return RequestOutcome::Refused("invalid request".to_owned());
    };
    let response = match client.request(request).await {
        Ok(response) => response,
        Err(cause) if cause.is_connect() => {
            return RequestOutcome::Refused("no connection".to_owned());
        }
        Err(_) => return RequestOutcome::Failed("broken connection".to_owned()),
    };
    if response.status() != StatusCode::OK {
        return read_error_response(response).await;
    }
    match arrival.kind {
        CallKind::Stream => read_streamed_completion(response, arrival, start).await,
        CallKind::Whole => read_completion(response, arrival, start).await,
        CallKind::Booking | CallKind::Read => read_service_response(response, start).await,
    }
}

async fn read_error_response(response: Response<Incoming>) -> RequestOutcome {
    let status = response.status().as_u16();
    let body = match read_body(response).await {
        Ok(body) => body,
        Err(failure) => return failure,
    };
    let problem: ProblemBody = serde_json::from_slice(&body).unwrap_or_default();
    let kind = problem.kind.rsplit(':').next().unwrap_or_default();
    let reason = format!("{status} {kind}");
    match problem.outcome.as_str() {
        "not-run" => RequestOutcome::Refused(reason),
        _ => RequestOutcome::Failed(reason),
    }
}

async fn read_streamed_completion(
    response: Response<Incoming>,
    arrival: &Arrival,
    start: Instant,
) -> RequestOutcome {
    let expected = ReferenceText::new(&arrival.name, &arrival.prompt);
    let mut verifier = StreamVerifier::new(expected, arrival.tokens);
    let mut body = response.into_body();
    let mut first = None;
    let mut last = start;
    let mut gaps = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return RequestOutcome::Failed("broken stream".to_owned());
        };
        let tokens =
            match verifier.process_chunk(frame.data_ref().map_or(&[], |data| data.as_ref())) {
                Ok(tokens) => tokens,
                Err(cause) => return RequestOutcome::Wrong(cause),
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
        Ok(true) => RequestOutcome::Answered(ResponseTimes {
            first_token: first.unwrap_or_else(|| start.elapsed()),
            total: last - start,
            gaps,
            tokens: verifier.received_tokens(),
        }),
        Ok(false) => RequestOutcome::Failed("stream without end".to_owned()),
        Err(cause) => RequestOutcome::Wrong(cause),
    }
}

async fn read_completion(
    response: Response<Incoming>,
    arrival: &Arrival,
    start: Instant,
) -> RequestOutcome {
    let body = match read_body(response).await {
        Ok(body) => body,
        Err(failure) => return failure,
    };
    let expected = ReferenceText::new(&arrival.name, &arrival.prompt);
    match verify_response(expected, arrival.tokens, &body) {
        Ok(()) => single_response(start, arrival.tokens),
        Err(cause) => RequestOutcome::Wrong(cause),
    }
}

async fn read_service_response(response: Response<Incoming>, start: Instant) -> RequestOutcome {
    match read_body(response).await {
        Ok(body) if body.is_empty() => RequestOutcome::Wrong(InvalidResponse::Truncated),
        Ok(_) => single_response(start, 0),
        Err(failure) => failure,
    }
}

fn single_response(start: Instant, tokens: u32) -> RequestOutcome {
    let total = start.elapsed();
    RequestOutcome::Answered(ResponseTimes {
        first_token: total,
        total,
        gaps: Vec::new(),
        tokens,
    })
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, RequestOutcome> {
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| RequestOutcome::Failed("broken answer".to_owned()))?;
    Ok(body.to_bytes())
}
