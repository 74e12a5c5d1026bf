//! HTTP responses to callers.

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
use crate::early_outcome::outcome_before_attempts;
use crate::request::RejectReason;
use crate::runner::CallRunner;

/// Runs a request until its first event and builds the response, which streams the rest if the caller wants events.
pub(crate) async fn respond(mut runner: CallRunner, guard: ActiveGuard) -> HttpResponse {
    let is_chat = matches!(runner.spec().work, CallWork::Chat { .. });
    let wants_events = matches!(runner.spec().work, CallWork::Chat { stream: true, .. });
    let first = next_non_heartbeat(&mut runner).await;
    match first {
        CallEvent::Head(200, _) if wants_events => stream_chat(runner, guard, None),
        CallEvent::Chunk(bytes) if wants_events => stream_chat(runner, guard, Some(bytes)),
        CallEvent::End(end) if end.outcome != CallOutcome::Completed => {
            end_response(runner.spec(), &end)
        }
        other => collect(runner, other, is_chat).await,
    }
}

/// Returns the next event other than a heartbeat.
async fn next_non_heartbeat(runner: &mut CallRunner) -> CallEvent {
    loop {
        match runner.next().await {
            CallEvent::Alive => {}
            event => return event,
        }
    }
}

/// Runs the request to its end and returns the response as a whole.
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
    with_call_headers(response, runner.spec().request, end.outcome, end.attempts)
}

fn chat_json(spec: &CallSpec, end: &CallResult, text: &[u8]) -> Vec<u8> {
    let value = json!({
        "id": spec.request.to_string(),
        "object": "chat.completion",
        "model": model_name(spec),
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

/// Converts the events of a request into server-sent events.
struct ChatEvents {
    runner: CallRunner,
    first: Option<Vec<u8>>,
    /// Bytes of an incomplete UTF-8 character at the end of the text so far.
    undecoded: Vec<u8>,
    ended: bool,
    _guard: ActiveGuard,
}

impl ChatEvents {
    /// Waits for the next part of the response. Returns `None` after the last one.
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
                // Sent as a comment, so that a closed connection is detected.
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
        let text = take_complete_text(&mut self.undecoded);
        let choice = ChatChoice {
            delta: ChatDelta {
                content: Some(text),
            },
            ..ChatChoice::default()
        };
        let event = ChatEvent {
            choices: vec![choice],
            ..self.event_template()
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
            ..self.event_template()
        };
        let mut text = data_event(&event);
        if completed {
            text.extend_from_slice(b"data: [DONE]\n\n");
        } else {
            text.extend_from_slice(&data_event(&error_body(&end.reason, None, end.outcome)));
        }
        text
    }

    fn event_template(&self) -> ChatEvent {
        ChatEvent {
            id: self.runner.spec().request.to_string(),
            object: "chat.completion.chunk".to_owned(),
            model: model_name(self.runner.spec()),
            ..ChatEvent::default()
        }
    }
}

/// Removes and returns the text up to an incomplete character at the end of `bytes`. Invalid UTF-8 is replaced.
fn take_complete_text(bytes: &mut Vec<u8>) -> String {
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

/// Builds the response to a request that did not complete.
fn end_response(spec: &CallSpec, end: &CallResult) -> HttpResponse {
    let body = error_body(&end.reason, None, end.outcome);
    let response = HttpResponse::full(http_status(end.outcome), "application/json", to_json(&body));
    let response = with_call_headers(response, spec.request, end.outcome, end.attempts);
    with_retry_after(response, end.retry_after)
}

/// Builds the response to a request that failed validation.
pub(crate) fn reject_response(reason: &RejectReason) -> HttpResponse {
    match reason {
        RejectReason::TooLarge(limit) => {
            let message = format!("body is over the limit of {limit} bytes");
            error_response(413, &message, Some("body".to_owned()))
        }
        RejectReason::Malformed(list) => error_response(400, &list.to_string(), first_field(list)),
    }
}

/// Builds a JSON error for an invalid request, which cannot have run.
pub(crate) fn error_response(status: u16, message: &str, field: Option<String>) -> HttpResponse {
    error_with_outcome(status, message, field, CallOutcome::NotRun)
}

/// Builds the response to a valid request that this router cannot accept now.
pub(crate) fn refuse_response(
    request: &HttpRequest,
    message: &str,
    retry_after: SpanMillis,
) -> HttpResponse {
    let outcome = outcome_before_attempts(request);
    let response = error_with_outcome(http_status(outcome), message, None, outcome);
    with_retry_after(response, Some(retry_after))
}

fn error_with_outcome(
    status: u16,
    message: &str,
    field: Option<String>,
    outcome: CallOutcome,
) -> HttpResponse {
    let body = error_body(message, field, outcome);
    let response = HttpResponse::full(status, "application/json", to_json(&body));
    with_call_headers(response, RequestId::generate(), outcome, 0)
}

/// Returns the HTTP status for an outcome.
fn http_status(outcome: CallOutcome) -> u16 {
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

fn model_name(spec: &CallSpec) -> String {
    match &spec.work {
        CallWork::Chat { model, .. } => model.to_string(),
        CallWork::Service { .. } => String::new(),
    }
}

/// Adds the request, outcome and attempts headers.
fn with_call_headers(
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
