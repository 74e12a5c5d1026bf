//! Streaming client for fault tests, which can run actions between tokens, disconnect early and set a deadline.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fescuetide_standin::answer::full_answer;
use fescuetide_wire::api::CHAT_HEADER;
use fescuetide_wire::api::CLASS_HEADER;
use fescuetide_wire::api::CallOutcome;
use fescuetide_wire::api::ChatEvent;
use fescuetide_wire::api::ChatMessage;
use fescuetide_wire::api::DEADLINE_HEADER;
use fescuetide_wire::api::WORKSPACE_HEADER;
use serde_json::json;
use ureq::Agent;

use crate::client::parse_outcome;

/// Read timeout of a stream. Routers send heartbeats every second.
const READ_TIMEOUT_SECS: u64 = 60;

/// One streamed request.
#[derive(Clone, Debug)]
pub struct StreamCall {
    /// The router.
    pub router: SocketAddr,
    /// The class.
    pub class: String,
    /// The chat id, which determines the ranking of engines; empty for none.
    pub chat: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
    /// The deadline sent with the request, if any.
    pub deadline: Option<Duration>,
}

/// The response to a streamed request, as received.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// The messages of the prompt.
    pub messages: Vec<ChatMessage>,
    /// The expected complete answer.
    pub whole: String,
    /// The HTTP status, or 0 when there was no response.
    pub status: u16,
    /// The reported outcome, or `None` when the connection failed or the caller disconnected.
    pub outcome: Option<CallOutcome>,
    /// Number of attempts reported at the end of the stream.
    pub attempts: u32,
    /// The value of `Retry-After` in s.
    pub retry_after_secs: Option<u64>,
    /// The body of an error response, or empty.
    pub error: String,
    /// The received text.
    pub text: String,
    /// Maximum inter-token latency.
    pub max_gap: Duration,
    /// Total duration.
    pub elapsed: Duration,
}

impl StreamCall {
    /// Creates a request of class `chat` for `max_tokens` tokens. `prompt` must be unique within a test.
    pub fn new(router: SocketAddr, prompt: &str, max_tokens: u32) -> Self {
        Self {
            router,
            class: "chat".to_owned(),
            chat: format!("chat-{}", prompt.replace([' ', ','], "-")),
            prompt: prompt.to_owned(),
            max_tokens,
            deadline: None,
        }
    }

    /// The messages of the request.
    pub fn messages(&self) -> Vec<ChatMessage> {
        vec![ChatMessage {
            role: "user".to_owned(),
            content: self.prompt.clone(),
        }]
    }

    /// Sends the request and reads the whole response.
    pub fn run(&self) -> StreamResult {
        self.run_with(|_| true)
    }

    /// Sends the request and calls `on_token` with the number of tokens received so far. Disconnects when it returns
    /// false.
    pub fn run_with(&self, mut on_token: impl FnMut(usize) -> bool) -> StreamResult {
        let messages = self.messages();
        let start = Instant::now();
        let mut result = StreamResult {
            whole: full_answer(&messages, self.max_tokens),
            messages,
            status: 0,
            outcome: None,
            attempts: 0,
            retry_after_secs: None,
            error: String::new(),
            text: String::new(),
            max_gap: Duration::ZERO,
            elapsed: Duration::ZERO,
        };
        self.exchange(&mut result, &mut on_token);
        result.elapsed = start.elapsed();
        result
    }

    fn exchange(&self, result: &mut StreamResult, on_token: &mut dyn FnMut(usize) -> bool) {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_per_read(Some(Duration::from_secs(READ_TIMEOUT_SECS)))
            .build();
        let agent: Agent = config.into();
        let body = json!({
            "model": "deck-1",
            "stream": true,
            "max_tokens": self.max_tokens,
            "messages": result.messages,
        });
        let mut request = agent
            .post(format!("http://{}/v1/chat/completions", self.router))
            .header(WORKSPACE_HEADER, "workspace-1")
            .header(CLASS_HEADER, &self.class);
        if !self.chat.is_empty() {
            request = request.header(CHAT_HEADER, &self.chat);
        }
        if let Some(deadline) = self.deadline {
            request = request.header(DEADLINE_HEADER, deadline.as_millis().to_string());
        }
        let Ok(response) = request.send_json(&body) else {
            return;
        };
        result.status = response.status().as_u16();
        result.retry_after_secs = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        if result.status != 200 {
            result.outcome = parse_outcome(&response);
            result.error = response.into_body().read_to_string().unwrap_or_default();
            return;
        }
        let reader = BufReader::new(response.into_body().into_reader());
        read_stream(reader, result, on_token);
    }
}

fn read_stream(
    reader: impl BufRead,
    result: &mut StreamResult,
    on_token: &mut dyn FnMut(usize) -> bool,
) {
    let mut last: Option<Instant> = None;
    let mut tokens = 0;
    for line in reader.lines() {
        let Ok(line) = line else {
            return;
        };
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        let Ok(event) = serde_json::from_str::<ChatEvent>(data) else {
            continue;
        };
        if let Some(report) = event.fescuetide {
            result.outcome = Some(report.outcome);
            result.attempts = report.attempts;
        }
        for choice in event.choices {
            let Some(content) = choice.delta.content else {
                continue;
            };
            let now = Instant::now();
            if let Some(last) = last {
                result.max_gap = result.max_gap.max(now - last);
            }
            last = Some(now);
            result.text.push_str(&content);
            for _ in content.split_whitespace() {
                tokens += 1;
                if !on_token(tokens) {
                    return;
                }
            }
        }
    }
}
