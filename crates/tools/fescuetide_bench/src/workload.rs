//! Returning chats of several workspaces, from a seed.

use fescuetide_base::StableHash;
use fescuetide_wire::api::ChatMessage;

use crate::client::ChatCall;

/// A small generator of reproducible numbers.
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
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.draw() % limit.max(1)
    }
}

/// One chat of a workspace that returns for further turns.
#[derive(Clone, Debug)]
pub struct ReturningChat {
    workspace: String,
    chat: String,
    class: String,
    messages: Vec<ChatMessage>,
    random: SeededRandom,
    max_tokens: u32,
}

impl ReturningChat {
    /// Creates a chat that starts with its workspace's guide of `guide_words` words.
    pub fn new(seed: u64, workspace: usize, chat: usize, class: &str, guide_words: usize) -> Self {
        let name = format!("workspace-{workspace}");
        let guide = seeded_words(
            &mut SeededRandom::new(seed ^ StableHash::hash_bytes(name.as_bytes())),
            guide_words,
        );
        Self {
            chat: format!("chat-{workspace}-{chat}"),
            class: class.to_owned(),
            messages: vec![message("system", guide)],
            random: SeededRandom::new(seed ^ ((workspace as u64) << 32) ^ chat as u64),
            workspace: name,
            max_tokens: 24,
        }
    }

    /// The next turn's request.
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

    /// Takes in the answer to the last turn, or forgets the turn when there is none.
    pub fn note_answer(&mut self, answer: Option<&str>) {
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

/// A text of `count` words.
pub fn seeded_words(random: &mut SeededRandom, count: usize) -> String {
    let mut text = String::with_capacity(count * 7);
    for _ in 0..count {
        text.push_str(&format!("t{:05x} ", random.below(0xf_ffff)));
    }
    text
}
