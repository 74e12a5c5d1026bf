//! HTTP client of the upstream.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_limits::RequestPause;
use fescuetide_wire::api::ChatEvent;
use fescuetide_wire::frame::AttemptEnding;
use fescuetide_wire::frame::AttemptTag;
use fescuetide_wire::frame::DispatchFrame;
use fescuetide_wire::frame::FRAME_LIMIT_BYTES;
use fescuetide_wire::frame::WorkBody;
use serde_json::Value;
use ureq::Agent;
use ureq::Body;
use ureq::config::Config;
use ureq::http::Request;
use ureq::http::Response;

use crate::SideSettings;
use crate::UpstreamKind;
use crate::response::ResponseBuffer;
use crate::watched::ConnectionWatch;
use crate::watched::has_length;

/// Timeout of connecting to the upstream, which is on the same VM.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a cancellation call to the upstream.
const CANCEL_TIMEOUT_MS: u64 = 2_000;

/// Size of the buffer that service responses are read into, in bytes.
const READ_PART_BYTES: usize = 16 * 1024;

/// Number of probes that check whether a failed upstream has crashed.
const PROBE_COUNT: u32 = 3;

/// Pause after each probe, in ms. The first and the last probe are `PROBE_COUNT - 1` pauses apart. A crash goes
/// undetected if the upstream accepts connections at every probe, for example because it has already restarted.
const PROBE_PAUSE_MS: u64 = 20;

/// Status with which an upstream turns a request away, and may ask for a pause.
const UNAVAILABLE_STATUS: u16 = 503;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Header in which an upstream says for how long it wants no more requests, in seconds.
const RETRY_AFTER_HEADER: &str = "retry-after";

/// Header that passes the attempt id to the upstream, which knows each attempt as a request of its own.
const ATTEMPT_HEADER: &str = "x-request-id";

/// Client of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamClient {
    config: Config,
    base: String,
    kind: UpstreamKind,
    pause: Mutex<RequestPause>,
}

impl UpstreamClient {
    pub(crate) fn new(settings: &SideSettings) -> Self {
        // Connections are not reused: a pooled one may be dead, and a call that fails on it may nevertheless have run.
        let config = Agent::config_builder()
            .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
            .timeout_per_read(Some(Duration::from_millis(settings.upstream_silence_ms)))
            .http_status_as_error(false)
            .max_idle_connections(0)
            // A redirect is returned as the response. Following it would make a second call.
            .max_redirects(0)
            .max_redirects_will_error(false)
            .build();
        Self {
            config,
            base: settings.upstream_url.clone(),
            kind: settings.kind,
            pause: Mutex::default(),
        }
    }

    /// The agent of a call whose response has no body that matters.
    fn agent(&self) -> Agent {
        ConnectionWatch::default().agent(&self.config)
    }

    /// Time for which the upstream still wants no requests, or `None` if it accepts them.
    pub(crate) fn pause_left(&self, now: ClockMillis) -> Option<SpanMillis> {
        let end = self.lock_pause().end(now)?;
        Some(end.since(now))
    }

    /// Starts a pause if the upstream turned a request away and asks for one.
    fn note_pause<B>(&self, response: &Response<B>) {
        if response.status().as_u16() != UNAVAILABLE_STATUS {
            return;
        }
        let value = response.headers().get(RETRY_AFTER_HEADER);
        let text = value.and_then(|value| value.to_str().ok());
        let Some(pause) = text.and_then(SpanMillis::from_retry_after) else {
            return;
        };
        tracing::info!(pause_ms = pause.as_millis(), "upstream asked for a pause");
        self.lock_pause().extend(pause, ClockMillis::now());
    }

    fn lock_pause(&self) -> MutexGuard<'_, RequestPause> {
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs an attempt to its end and writes its response to `buffer`.
    pub(crate) fn run(&self, dispatch: &DispatchFrame, buffer: &ResponseBuffer) -> AttemptEnding {
        match self.run_once(dispatch, buffer) {
            AttemptEnding::Failed(reason) if refuses_connections(&self.base) => {
                AttemptEnding::Crashed(reason)
            }
            ending => ending,
        }
    }

    fn run_once(&self, dispatch: &DispatchFrame, buffer: &ResponseBuffer) -> AttemptEnding {
        match &dispatch.work {
            WorkBody::Chat { body, delivered } => self.run_chat(dispatch, body, delivered, buffer),
            WorkBody::Call {
                method,
                path,
                content_type,
                body,
            } => {
                let mut request = Request::builder()
                    .method(method.as_str())
                    .uri(format!("{}{path}", self.base))
                    .header(ATTEMPT_HEADER, dispatch.tag.attempt.to_string());
                if let Some(kind) = content_type {
                    request = request.header("content-type", kind);
                }
                if let Some(key) = &dispatch.key {
                    request = request.header("idempotency-key", key.key.to_string());
                }
                match request.body(body.as_slice()) {
                    Ok(request) => self.run_service_call(request, buffer),
                    Err(error) => AttemptEnding::NotRun(format!("request is malformed: {error}")),
                }
            }
        }
    }

    /// Exports the longest cached prefix of a request from the engine. Returns an empty blob if there is none, the call
    /// fails or it takes longer than `limit`.
    pub(crate) fn export_prefix(&self, body: &[u8], limit: SpanMillis) -> Vec<u8> {
        let watch = ConnectionWatch::default();
        let result = watch
            .agent(&self.config)
            .post(format!("{}/kv/export", self.base))
            .config()
            .timeout_global(Some(limit.into()))
            .build()
            .send(body);
        let mut response = match result {
            Ok(response) if response.status() == 200 => response,
            Ok(_) | Err(_) => return Vec::new(),
        };
        let has_length = has_length(&response);
        // The blob is sent as one frame, which must stay below the frame limit.
        let limited = response.body_mut().with_config();
        let blob = limited.limit(FRAME_LIMIT_BYTES as u64 / 2).read_to_vec();
        match (blob, watch.check_end(has_length)) {
            (Ok(blob), Ok(())) => blob,
            _ => Vec::new(),
        }
    }

    /// Imports a prefix exported by another engine. Returns whether the engine accepted it.
    pub(crate) fn import_prefix(&self, blob: &[u8], limit: SpanMillis) -> bool {
        let result = self
            .agent()
            .post(format!("{}/kv/import", self.base))
            .config()
            .timeout_global(Some(limit.into()))
            .build()
            .send(blob);
        result.is_ok_and(|response| response.status() == 200)
    }

    /// Tells the engine to stop generating for an attempt. Plain services have no such interface.
    pub(crate) fn cancel(&self, tag: AttemptTag) {
        if self.kind != UpstreamKind::Engine {
            return;
        }
        let url = format!("{}/v1/requests/{}", self.base, tag.attempt);
        let timeout: Duration = SpanMillis::new(CANCEL_TIMEOUT_MS).into();
        let request = self
            .agent()
            .delete(url)
            .config()
            .timeout_global(Some(timeout))
            .build();
        if let Err(error) = request.call() {
            tracing::debug!(%tag, %error, "cancelling the attempt at the upstream failed");
        }
    }

    fn run_service_call(&self, request: Request<&[u8]>, buffer: &ResponseBuffer) -> AttemptEnding {
        let watch = ConnectionWatch::default();
        let response = match watch.agent(&self.config).run(request) {
            Ok(response) => response,
            Err(error) => return ending_from_error(&error),
        };
        self.note_pause(&response);
        let status = response.status().as_u16();
        if !FINAL_STATUSES.contains(&status) {
            return unusable_status(status);
        }
        buffer.set_head(status, response_content_type(&response));
        let has_length = has_length(&response);
        let mut reader = response.into_body().into_reader();
        let mut part = vec![0; READ_PART_BYTES];
        loop {
            match reader.read(&mut part) {
                Ok(0) => return ending_of_body(&watch, has_length),
                Ok(length) => buffer.append(&part[..length]),
                Err(error) => {
                    return AttemptEnding::Failed(format!("reading the response failed: {error}"));
                }
            }
        }
    }

    fn run_chat(
        &self,
        dispatch: &DispatchFrame,
        body: &[u8],
        delivered: &str,
        buffer: &ResponseBuffer,
    ) -> AttemptEnding {
        let body = match engine_body(body, delivered) {
            Ok(body) => body,
            Err(error) => return AttemptEnding::NotRun(format!("body is malformed: {error}")),
        };
        let watch = ConnectionWatch::default();
        let result = watch
            .agent(&self.config)
            .post(format!("{}/v1/chat/completions", self.base))
            .header("content-type", "application/json")
            .header(ATTEMPT_HEADER, dispatch.tag.attempt.to_string())
            .header("x-priority", engine_priority(dispatch.slack).to_string())
            .send(body);
        let response = match result {
            Ok(response) => response,
            Err(error) => return ending_from_error(&error),
        };
        self.note_pause(&response);
        let status = response.status().as_u16();
        if status != 200 {
            return relay_error(response, &watch, buffer);
        }
        buffer.set_head(status, "text/plain".to_owned());
        relay_events(response, buffer)
    }
}

/// Relays an error response of the engine as the response to the request. Server errors fail the attempt instead.
fn relay_error(
    mut response: Response<Body>,
    watch: &ConnectionWatch,
    buffer: &ResponseBuffer,
) -> AttemptEnding {
    let status = response.status().as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return unusable_status(status);
    }
    if status >= 500 {
        return AttemptEnding::Failed(format!("engine answered with status {status}"));
    }
    buffer.set_head(status, response_content_type(&response));
    let has_length = has_length(&response);
    match response.body_mut().read_to_vec() {
        Ok(bytes) => buffer.append(&bytes),
        Err(error) => {
            return AttemptEnding::Failed(format!("reading the response failed: {error}"));
        }
    }
    ending_of_body(watch, has_length)
}

/// The ending of an attempt whose response has ended as far as the client can tell.
fn ending_of_body(watch: &ConnectionWatch, has_length: bool) -> AttemptEnding {
    match watch.check_end(has_length) {
        Ok(()) => completed(0, 0, 0),
        Err(error) => AttemptEnding::Failed(format!("reading the response failed: {error}")),
    }
}

fn unusable_status(status: u16) -> AttemptEnding {
    AttemptEnding::Failed(format!(
        "upstream answered with the invalid status {status}"
    ))
}

fn relay_events(response: Response<Body>, buffer: &ResponseBuffer) -> AttemptEnding {
    let reader = BufReader::new(response.into_body().into_reader());
    let mut usage = None;
    for line in reader.lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                return AttemptEnding::Failed(format!(
                    "reading the response of the engine failed: {error}"
                ));
            }
        };
        if buffer.is_cancelled() {
            return AttemptEnding::Cancelled;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            let usage: fescuetide_wire::api::TokenUsage = usage.unwrap_or_default();
            return completed(
                usage.prompt_tokens,
                usage.cached_tokens,
                usage.completion_tokens,
            );
        }
        let event: ChatEvent = match serde_json::from_str(data) {
            Ok(event) => event,
            Err(error) => {
                return AttemptEnding::Failed(format!(
                    "engine sent an event that cannot be parsed: {error}"
                ));
            }
        };
        usage = event.usage.or(usage);
        for choice in event.choices {
            if let Some(content) = choice.delta.content {
                buffer.append(content.as_bytes());
            }
        }
    }
    AttemptEnding::Failed("engine closed the stream before its end".to_owned())
}

/// Returns the request body for the engine: always streaming, and continuing after the text already delivered.
fn engine_body(body: &[u8], delivered: &str) -> Result<Vec<u8>, serde_json::Error> {
    let mut value: Value = serde_json::from_slice(body)?;
    if let Value::Object(fields) = &mut value {
        fields.insert("stream".to_owned(), Value::Bool(true));
        if !delivered.is_empty() {
            fields.insert("continue_from".to_owned(), Value::from(delivered));
        }
    }
    serde_json::to_vec(&value)
}

/// Returns the priority header value. Engines run lower values first.
fn engine_priority(slack: SpanMillis) -> u64 {
    slack.as_millis()
}

fn completed(prompt_tokens: u64, cached_tokens: u64, completion_tokens: u64) -> AttemptEnding {
    AttemptEnding::Completed {
        prompt_tokens,
        cached_tokens,
        completion_tokens,
    }
}

fn response_content_type(response: &Response<Body>) -> String {
    response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned()
}

/// Converts a failed call into an ending. Only a failure to connect proves that the upstream did not run the request.
fn ending_from_error(error: &ureq::Error) -> AttemptEnding {
    match error {
        ureq::Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
            AttemptEnding::NotRun("upstream refused the connection".to_owned())
        }
        ureq::Error::Timeout(ureq::Timeout::Connect) | ureq::Error::ConnectionFailed => {
            AttemptEnding::NotRun("upstream cannot be connected".to_owned())
        }
        other => AttemptEnding::Failed(format!("upstream call failed: {other}")),
    }
}

/// Returns whether the upstream refuses connections. This distinguishes a crash from an error response, a timeout or a
/// truncated response. It probes repeatedly, since the listener of a dying process may close later than its
/// connections.
fn refuses_connections(base: &str) -> bool {
    let Some(address) = base.strip_prefix("http://") else {
        return false;
    };
    for _ in 0..PROBE_COUNT {
        match TcpStream::connect(address) {
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return true,
            Ok(_) | Err(_) => thread::sleep(Duration::from_millis(PROBE_PAUSE_MS)),
        }
    }
    false
}
