//! The text that the engine stand-in generates. It depends only on the prompt, so that a client can check that it got
//! the complete answer to its own request.

use fescuetide_base::StableHash;
use fescuetide_wire::api::ChatMessage;

/// The number of tokens generated if a request sets no limit.
pub const DEFAULT_ANSWER_TOKENS: u32 = 16;

/// Splits messages into tokens and returns the hash of each. Every word is a token, and so is the role that starts a
/// message.
pub fn prompt_tokens(messages: &[ChatMessage]) -> Vec<u64> {
    let mut tokens = Vec::new();
    for message in messages {
        tokens.push(
            StableHash::new()
                .field(b"role")
                .field(message.role.as_bytes())
                .finish(),
        );
        append_text_tokens(&mut tokens, &message.content);
    }
    tokens
}

/// Appends the token of each word of a text.
pub fn append_text_tokens(tokens: &mut Vec<u64>, text: &str) {
    for word in text.split_whitespace() {
        tokens.push(StableHash::hash_bytes(word.as_bytes()));
    }
}

/// The token at `index` of the answer to a prompt, as text with a trailing space.
pub fn answer_token(prompt: u64, index: u32) -> String {
    let hash = StableHash::new()
        .field(&prompt.to_le_bytes())
        .field(&index.to_le_bytes())
        .finish();
    format!("w{:04x} ", hash & 0xffff)
}

/// The hash of all tokens of a prompt.
pub fn prompt_hash(tokens: &[u64]) -> u64 {
    let mut hash = StableHash::new();
    for token in tokens {
        hash = hash.field(&token.to_le_bytes());
    }
    hash.finish()
}

/// The complete answer of `length` tokens to a prompt.
pub fn full_answer(messages: &[ChatMessage], length: u32) -> String {
    let prompt = prompt_hash(&prompt_tokens(messages));
    let mut text = String::new();
    for index in 0..length {
        text.push_str(&answer_token(prompt, index));
    }
    text
}
