//! The callers' HTTP interface: header names, outcomes and JSON bodies.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Request header with the workspace.
pub const WORKSPACE_HEADER: &str = "fescuetide-workspace";
/// Request header with the chat.
pub const CHAT_HEADER: &str = "fescuetide-chat";
/// Request header with the class of work.
pub const CLASS_HEADER: &str = "fescuetide-class";
/// Request header with the idempotency key, a UUIDv7.
pub const KEY_HEADER: &str = "idempotency-key";
/// Request header with the time in ms that the caller waits for the whole response.
pub const DEADLINE_HEADER: &str = "fescuetide-deadline-ms";
/// Response header with the request id.
pub const REQUEST_HEADER: &str = "fescuetide-request";
/// Response header with the outcome.
pub const OUTCOME_HEADER: &str = "fescuetide-outcome";
/// Response header with the number of attempts.
pub const ATTEMPTS_HEADER: &str = "fescuetide-attempts";

/// How a request ended, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The response is complete.
    Completed,
    /// The request did not run.
    NotRun,
    /// The request ran, but there is no complete response.
    Failed,
    /// The request is not repeatable and may have run.
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

/// A chat-completions request. Fields that the router does not use are passed on as they are.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The model.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// The text.
    pub content: String,
}

/// One server-sent event of a chat completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatEvent {
    /// The request id.
    #[serde(default)]
    pub id: String,
    /// Always `chat.completion.chunk`.
    #[serde(default)]
    pub object: String,
    /// The model.
    #[serde(default)]
    pub model: String,
    /// One choice with the next part of the text.
    #[serde(default)]
    pub choices: Vec<ChatChoice>,
    /// Token counts, on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
    /// How the request ended, on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fescuetide: Option<CallReport>,
}

/// The choice of a chat event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Always 0.
    #[serde(default)]
    pub index: u32,
    /// The next part of the text.
    #[serde(default)]
    pub delta: ChatDelta,
    /// Why generation ended, on the last part only.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The next part of a generated text.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of a chat completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were served from the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// How a request ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallReport {
    /// The request id.
    pub request: String,
    /// The outcome.
    pub outcome: CallOutcome,
    /// The number of attempts dispatched.
    pub attempts: u32,
}

/// The JSON error body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The text for people; all findings, one a line.
    pub message: String,
    /// The header or body field of the first finding.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The outcome, `not-run` for every request that was rejected.
    pub outcome: CallOutcome,
}
