//! HTTP client that sends chat requests to routers and checks the responses.

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
use fescuetide_wire::api::OUTCOME_HEADER;
use fescuetide_wire::api::TokenUsage;
use fescuetide_wire::api::WORKSPACE_HEADER;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

/// One chat request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// The workspace.
    pub workspace: String,
    /// The chat id.
    pub chat: String,
    /// The class.
    pub class: String,
    /// The conversation, ending with the user message to answer.
    pub messages: Vec<ChatMessage>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
}

/// The response to a chat request, as received.
#[derive(Clone, Debug)]
pub struct ChatResult {
    /// The reported outcome, or `None` when the connection failed.
    pub outcome: Option<CallOutcome>,
    /// The reported request id.
    pub request: Option<String>,
    /// The received text.
    pub text: String,
    /// Whether the text is the complete answer to the prompt.
    pub is_complete: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Inter-token latencies.
    pub inter_token_latencies: Vec<Duration>,
    /// Token counts.
    pub usage: TokenUsage,
}

/// Sends chat requests over its own connection pool.
#[derive(Clone, Debug)]
pub struct CallerClient {
    agent: Agent,
}

impl Default for CallerClient {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_per_read(Some(Duration::from_secs(60)))
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl CallerClient {
    /// Sends a streamed chat request to the router at `address`.
    pub fn chat(&self, address: SocketAddr, call: &ChatCall) -> ChatResult {
        let start = Instant::now();
        let body = json!({
            "model": "deck-1",
            "stream": true,
            "max_tokens": call.max_tokens,
            "messages": call.messages,
        });
        let mut result = ChatResult {
            outcome: None,
            request: None,
            text: String::new(),
            is_complete: false,
            first_token: None,
            inter_token_latencies: Vec::new(),
            usage: TokenUsage::default(),
        };
        let response = self
            .agent
            .post(format!("http://{address}/v1/chat/completions"))
            .header(WORKSPACE_HEADER, &call.workspace)
            .header(CHAT_HEADER, &call.chat)
            .header(CLASS_HEADER, &call.class)
            .send_json(&body);
        let Ok(response) = response else {
            return result;
        };
        if response.status() != 200 {
            result.outcome = parse_outcome(&response);
            return result;
        }
        read_events(response, start, &mut result);
        result.is_complete = result.text == full_answer(&call.messages, call.max_tokens);
        result
    }
}

/// Parses the outcome header of a response.
pub fn parse_outcome(response: &Response<Body>) -> Option<CallOutcome> {
    let value = response.headers().get(OUTCOME_HEADER)?;
    value.to_str().ok()?.parse().ok()
}

pub(crate) fn read_events(response: Response<Body>, start: Instant, result: &mut ChatResult) {
    let reader = BufReader::new(response.into_body().into_reader());
    let mut last: Option<Instant> = None;
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
        result.usage = event.usage.unwrap_or(result.usage);
        if let Some(report) = event.fescuetide {
            result.outcome = Some(report.outcome);
            result.request = Some(report.request);
        }
        for choice in event.choices {
            let Some(content) = choice.delta.content else {
                continue;
            };
            let now = Instant::now();
            match last {
                None => result.first_token = Some(now - start),
                Some(last) => result.inter_token_latencies.push(now - last),
            }
            last = Some(now);
            result.text.push_str(&content);
        }
    }
}
