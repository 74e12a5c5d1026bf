//! The HTTP API for callers: header names, outcomes and JSON bodies.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// The request header that contains the workspace name.
pub const WORKSPACE_HEADER: &str = "fescuetide-workspace";
/// The request header that contains the chat name.
pub const CHAT_HEADER: &str = "fescuetide-chat";
/// The request header that contains the class name.
pub const CLASS_HEADER: &str = "fescuetide-class";
/// The request header that contains the idempotency key, a UUIDv7.
pub const KEY_HEADER: &str = "idempotency-key";
/// The request header that contains the caller's timeout for the complete response, in milliseconds.
pub const DEADLINE_HEADER: &str = "fescuetide-deadline-ms";
/// The response header that contains the request id.
pub const REQUEST_ID_HEADER: &str = "fescuetide-request";
/// The response header that contains the [`CallOutcome`].
pub const OUTCOME_HEADER: &str = "fescuetide-outcome";
/// The response header that contains the number of dispatched attempts.
pub const ATTEMPTS_HEADER: &str = "fescuetide-attempts";

/// The final status of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The complete response was delivered.
    Completed,
    /// The request did not run, so the caller can safely send it again.
    NotRun,
    /// The request ran, but did not produce a complete response.
    Failed,
    /// The request is not repeatable, and it is not known whether it ran.
    Unknown,
}

impl fmt::Display for CallOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        })
    }
}

impl FromStr for CallOutcome {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "completed" => Ok(Self::Completed),
            "not-run" => Ok(Self::NotRun),
            "failed" => Ok(Self::Failed),
            "unknown" => Ok(Self::Unknown),
            _ => Err(format!("{text:?} is not an outcome")),
        }
    }
}

/// The body of a chat-completions request. Fields that the router does not interpret are forwarded unchanged.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The name of the model.
    pub model: String,
    /// The messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All fields that the router does not interpret.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// The author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// One server-sent event of a chat completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatEvent {
    /// The request id.
    #[serde(default)]
    pub id: String,
    /// The object type, always `chat.completion.chunk`.
    #[serde(default)]
    pub object: String,
    /// The name of the model.
    #[serde(default)]
    pub model: String,
    /// A single choice with the next part of the generated text.
    #[serde(default)]
    pub choices: Vec<ChatChoice>,
    /// Token counts. Present only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
    /// The final status of the request. Present only in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fescuetide: Option<CallReport>,
}

/// The single choice of a [`ChatEvent`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatChoice {
    /// The index of the choice, always 0.
    #[serde(default)]
    pub index: u32,
    /// The next part of the generated text.
    #[serde(default)]
    pub delta: ChatDelta,
    /// The reason why generation stopped. Present only in the last part.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The next part of a generated text.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The generated text, if this part contains any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of a chat completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The number of prompt tokens that were read from the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// The number of generated tokens.
    pub completion_tokens: u64,
}

/// The final status of a request, sent in the last event of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallReport {
    /// The request id.
    pub request: String,
    /// The outcome.
    pub outcome: CallOutcome,
    /// The number of dispatched attempts.
    pub attempts: u32,
}

/// The JSON body of an error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The details of the error.
    pub error: ErrorDetail,
}

/// The details of an error response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A human-readable message with all findings, one per line.
    pub message: String,
    /// The header or body field that the first finding refers to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The outcome of the request. Rejected requests always have `not-run`.
    pub outcome: CallOutcome,
}
