//! Responses to callers.

use fescuetide_base::FindingList;
use fescuetide_base::RequestId;
use fescuetide_base::SpanMillis;
use fescuetide_net::HttpRequest;
use fescuetide_net::HttpResponse;
use fescuetide_wire::api::ATTEMPTS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::CallReport;
use fescuetide_wire::api::ChatChoice;
use fescuetide_wire::api::ChatDelta;
use fescuetide_wire::api::ChatEvent;
use fescuetide_wire::api::ErrorBody;
use fescuetide_wire::api::ErrorDetail;
use fescuetide_wire::api::OUTCOME_HEADER;
use fescuetide_wire::api::REQUEST_ID_HEADER;
use futures::StreamExt;
use futures::stream;
use serde::Serialize;
use serde_json::json;

use crate::active::ActiveGuard;
use crate::call::CallEvent;
use crate::call::CallResult;
use crate::call::CallSpec;
use crate::call::CallWork;
use crate::evidence::outcome_before_attempts;
use crate::request::RejectReason;
use crate::runner::CallRunner;

/// Runs a request and builds its response.
pub(crate) async fn respond(mut runner: CallRunner, guard: ActiveGuard) -> HttpResponse {
    let is_chat = matches!(runner.spec().work, CallWork::Chat { .. });
    let wants_events = matches!(runner.spec().work, CallWork::Chat { stream: true, .. });
    let first = next_news(&mut runner).await;
    match first {
        CallEvent::Head(200, _) if wants_events => stream_chat(runner, guard, None),
        CallEvent::Chunk(bytes) if wants_events => stream_chat(runner, guard, Some(bytes)),
        CallEvent::End(end) if end.outcome != CallOutcome::Completed => {
            end_response(runner.spec(), &end)
        }
        other => collect(runner, other, is_chat).await,
    }
}

/// The next event other than a heartbeat.
async fn next_news(runner: &mut CallRunner) -> CallEvent {
    loop {
        match runner.next().await {
            CallEvent::Alive => {}
            event => return event,
        }
    }
}

/// Collects the whole response.
async fn collect(mut runner: CallRunner, first: CallEvent, is_chat: bool) -> HttpResponse {
    let mut status = 200;
    let mut content_type = "application/octet-stream".to_owned();
    let mut body = Vec::new();
    let mut event = first;
    let end = loop {
        match event {
            CallEvent::Head(found, kind) => {
                status = found;
                content_type = kind;
            }
            CallEvent::Chunk(bytes) => body.extend_from_slice(&bytes),
            CallEvent::Alive => {}
            CallEvent::End(end) => break end,
        }
        event = runner.next().await;
    };
    if end.outcome != CallOutcome::Completed {
        return end_response(runner.spec(), &end);
    }
    if is_chat && status == 200 {
        content_type = "application/json".to_owned();
        body = chat_json(runner.spec(), &end, &body);
    }
    let response = HttpResponse::full(status, &content_type, body);
    label(response, runner.spec().request, end.outcome, end.attempts)
}

fn chat_json(spec: &CallSpec, end: &CallResult, text: &[u8]) -> Vec<u8> {
    let value = json!({
        "id": spec.request.to_string(),
        "object": "chat.completion",
        "model": model_of(spec),
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": String::from_utf8_lossy(text) },
            "finish_reason": "stop",
        }],
        "usage": end.usage,
    });
    to_json(&value)
}

fn stream_chat(runner: CallRunner, guard: ActiveGuard, first: Option<Vec<u8>>) -> HttpResponse {
    let request = runner.spec().request;
    let events = ChatEvents {
        runner,
        first,
        undecoded: Vec::new(),
        ended: false,
        _guard: guard,
    };
    let parts = stream::unfold(events, |mut events| async move {
        let part = events.next_part().await?;
        Some((part, events))
    });
    HttpResponse::async_stream("text/event-stream", parts.boxed())
        .with_header(REQUEST_ID_HEADER, request)
        .with_header("cache-control", "no-store")
}

/// Turns a request's events into server-sent events.
struct ChatEvents {
    runner: CallRunner,
    first: Option<Vec<u8>>,
    /// Bytes of a character that is not complete yet.
    undecoded: Vec<u8>,
    ended: bool,
    _guard: ActiveGuard,
}

impl ChatEvents {
    /// Waits for the next part; `None` ends the response.
    async fn next_part(&mut self) -> Option<Vec<u8>> {
        if self.ended {
            return None;
        }
        if let Some(bytes) = self.first.take() {
            return Some(self.text_event(bytes));
        }
        loop {
            match self.runner.next().await {
                CallEvent::Head(..) => {}
                CallEvent::Chunk(bytes) => return Some(self.text_event(bytes)),
                // A comment, so that a caller that has left is noticed.
                CallEvent::Alive => return Some(b": keep-alive\n\n".to_vec()),
                CallEvent::End(end) => {
                    self.ended = true;
                    return Some(self.end_event(&end));
                }
            }
        }
    }

    fn text_event(&mut self, bytes: Vec<u8>) -> Vec<u8> {
        self.undecoded.extend_from_slice(&bytes);
        let text = take_text(&mut self.undecoded);
        let choice = ChatChoice {
            delta: ChatDelta {
                content: Some(text),
            },
            ..ChatChoice::default()
        };
        let event = ChatEvent {
            choices: vec![choice],
            ..self.blank_event()
        };
        data_event(&event)
    }

    fn end_event(&self, end: &CallResult) -> Vec<u8> {
        let completed = end.outcome == CallOutcome::Completed;
        let choice = ChatChoice {
            finish_reason: Some(if completed { "stop" } else { "error" }.to_owned()),
            ..ChatChoice::default()
        };
        let event = ChatEvent {
            choices: vec![choice],
            usage: Some(end.usage),
            fescuetide: Some(CallReport {
                request: self.runner.spec().request.to_string(),
                outcome: end.outcome,
                attempts: end.attempts,
            }),
            ..self.blank_event()
        };
        let mut text = data_event(&event);
        if completed {
            text.extend_from_slice(b"data: [DONE]\n\n");
        } else {
            text.extend_from_slice(&data_event(&error_body(&end.reason, None, end.outcome)));
        }
        text
    }

    fn blank_event(&self) -> ChatEvent {
        ChatEvent {
            id: self.runner.spec().request.to_string(),
            object: "chat.completion.chunk".to_owned(),
            model: model_of(self.runner.spec()),
            ..ChatEvent::default()
        }
    }
}

/// Takes all complete characters out of `bytes`.
fn take_text(bytes: &mut Vec<u8>) -> String {
    let valid = match std::str::from_utf8(bytes) {
        Ok(text) => text.len(),
        Err(error) if error.error_len().is_none() => error.valid_up_to(),
        Err(_) => bytes.len(),
    };
    let rest = bytes.split_off(valid);
    let text = String::from_utf8_lossy(bytes).into_owned();
    *bytes = rest;
    text
}

fn data_event<T: Serialize>(value: &T) -> Vec<u8> {
    let mut text = b"data: ".to_vec();
    text.extend_from_slice(&to_json(value));
    text.extend_from_slice(b"\n\n");
    text
}

/// The response to a request that did not complete.
fn end_response(spec: &CallSpec, end: &CallResult) -> HttpResponse {
    let body = error_body(&end.reason, None, end.outcome);
    let response = HttpResponse::full(status_of(end.outcome), "application/json", to_json(&body));
    let response = label(response, spec.request, end.outcome, end.attempts);
    with_retry_after(response, end.retry_after)
}

/// The response to a request that was rejected before this router made an attempt.
pub(crate) fn reject_response(reason: &RejectReason) -> HttpResponse {
    match reason {
        RejectReason::TooLarge(limit) => {
            let message = format!("body is over the limit of {limit} bytes");
            error_response(413, &message, Some("body".to_owned()))
        }
        RejectReason::Malformed(list) => error_response(400, &list.to_string(), first_field(list)),
    }
}

/// A JSON error for a request that is wrong in itself and so has never run.
pub(crate) fn error_response(status: u16, message: &str, field: Option<String>) -> HttpResponse {
    labelled_error(status, message, field, CallOutcome::NotRun)
}

/// The response to a request that this router cannot take now.
pub(crate) fn refuse_response(
    request: &HttpRequest,
    message: &str,
    retry_after: SpanMillis,
) -> HttpResponse {
    let outcome = outcome_before_attempts(request);
    let response = labelled_error(status_of(outcome), message, None, outcome);
    with_retry_after(response, Some(retry_after))
}

fn labelled_error(
    status: u16,
    message: &str,
    field: Option<String>,
    outcome: CallOutcome,
) -> HttpResponse {
    let body = error_body(message, field, outcome);
    let response = HttpResponse::full(status, "application/json", to_json(&body));
    label(response, RequestId::generate(), outcome, 0)
}

/// The status that goes with an outcome.
fn status_of(outcome: CallOutcome) -> u16 {
    match outcome {
        CallOutcome::Completed => 200,
        CallOutcome::NotRun => 503,
        CallOutcome::Failed => 502,
        CallOutcome::Unknown => 504,
    }
}

fn with_retry_after(response: HttpResponse, span: Option<SpanMillis>) -> HttpResponse {
    match span {
        Some(span) => response.with_header("retry-after", span.as_secs_ceil()),
        None => response,
    }
}

fn first_field(list: &FindingList) -> Option<String> {
    list.iter().next().map(|finding| finding.place.clone())
}

fn error_body(message: &str, field: Option<String>, outcome: CallOutcome) -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            message: message.to_owned(),
            field,
            outcome,
        },
    }
}

fn model_of(spec: &CallSpec) -> String {
    match &spec.work {
        CallWork::Chat { model, .. } => model.to_string(),
        CallWork::Service { .. } => String::new(),
    }
}

/// Adds the headers that every response carries.
fn label(
    response: HttpResponse,
    request: RequestId,
    outcome: CallOutcome,
    attempts: u32,
) -> HttpResponse {
    response
        .with_header(REQUEST_ID_HEADER, request)
        .with_header(OUTCOME_HEADER, outcome)
        .with_header(ATTEMPTS_HEADER, attempts)
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
