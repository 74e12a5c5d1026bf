//! Seeded generation of multi-turn chats.

use fescuetide_base::StableHash;
use fescuetide_wire::api::ChatMessage;

use crate::client::ChatCall;

/// A seeded pseudorandom number generator.
///
/// SplitMix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators", 2014).
#[derive(Clone, Debug)]
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator.
    pub const fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`, or 0 when `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next_u64() % limit.max(1)
    }
}

/// A multi-turn chat of a workspace.
#[derive(Clone, Debug)]
pub struct MultiTurnChat {
    workspace: String,
    chat: String,
    class: String,
    messages: Vec<ChatMessage>,
    random: SeededRandom,
    max_tokens: u32,
}

impl MultiTurnChat {
    /// Creates a chat that starts with its workspace's system prompt of `system_prompt_words` words.
    pub fn new(
        seed: u64,
        workspace: usize,
        chat: usize,
        class: &str,
        system_prompt_words: usize,
    ) -> Self {
        let name = format!("workspace-{workspace}");
        let system_prompt = seeded_words(
            &mut SeededRandom::new(seed ^ StableHash::hash_bytes(name.as_bytes())),
            system_prompt_words,
        );
        Self {
            chat: format!("chat-{workspace}-{chat}"),
            class: class.to_owned(),
            messages: vec![message("system", system_prompt)],
            random: SeededRandom::new(seed ^ ((workspace as u64) << 32) ^ chat as u64),
            workspace: name,
            max_tokens: 24,
        }
    }

    /// Appends a user message and returns the request of the next turn.
    pub fn next_call(&mut self) -> ChatCall {
        let length = 20 + self.random.below(30) as usize;
        let text = seeded_words(&mut self.random, length);
        self.messages.push(message("user", text));
        ChatCall {
            workspace: self.workspace.clone(),
            chat: self.chat.clone(),
            class: self.class.clone(),
            messages: self.messages.clone(),
            max_tokens: self.max_tokens,
        }
    }

    /// Appends the answer to the last turn, or drops the turn when there is no answer.
    pub fn record_answer(&mut self, answer: Option<&str>) {
        match answer {
            Some(text) => self.messages.push(message("assistant", text.to_owned())),
            None => {
                self.messages.pop();
            }
        }
    }
}

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage {
        role: role.to_owned(),
        content,
    }
}

/// Generates a text of `count` words.
pub fn seeded_words(random: &mut SeededRandom, count: usize) -> String {
    let mut text = String::with_capacity(count * 7);
    for _ in 0..count {
        text.push_str(&format!("t{:05x} ", random.below(0xf_ffff)));
    }
    text
}
