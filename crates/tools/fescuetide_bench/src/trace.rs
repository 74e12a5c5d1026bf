//! Open-loop load: the arrival time and content of every request are generated from a seed before the run.
//!
//! A stand-in engine's answer depends only on the prompt, so the later turns of a chat are known in advance and can be
//! sent without waiting for earlier answers.

use std::sync::Arc;

use fescuetide_base::StableHash;
use fescuetide_standin::answer::full_answer;
use fescuetide_standin::answer::prompt_hash;
use fescuetide_standin::answer::prompt_tokens;
use fescuetide_wire::api::ChatMessage;

use crate::engines::RequestWork;
use crate::workload::SeededRandom;
use crate::workload::seeded_words;

/// A request class and its share of the load.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The class.
    pub name: String,
    /// Relative weight among the classes of the same request kind.
    pub weight: u64,
    /// Whether its requests may be executed more than once.
    pub repeatable: bool,
}

/// A temporary increase of the request rate of some workspaces.
#[derive(Clone, Debug)]
pub struct SurgeLoad {
    /// Indices of the workspaces.
    pub workspaces: Vec<usize>,
    /// Multiple of their usual rate.
    pub factor: u64,
    /// Start of the surge, in ms.
    pub from_ms: u64,
    /// End of the surge, in ms.
    pub to_ms: u64,
}

/// Resends of idempotency keys to other routers while the first request may still be running.
#[derive(Clone, Debug)]
pub struct ResendLoad {
    /// Number of resends per key.
    pub count: u64,
    /// Maximum delay after the first send, in ms.
    pub within_ms: u64,
}

/// Parameters of the generated load.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The seed.
    pub seed: u64,
    /// Duration of the load, in ms.
    pub span_ms: u64,
    /// Chat turns per second outside of a surge.
    pub chats_per_s: f64,
    /// Calls of plain services per second.
    pub calls_per_s: f64,
    /// Relative weights of the workspaces.
    pub weights: Vec<u64>,
    /// Classes of chats.
    pub chat_classes: Vec<ClassLoad>,
    /// Classes of service calls.
    pub call_classes: Vec<ClassLoad>,
    /// The pool of plain services.
    pub service_pool: String,
    /// Words in the system prompt that all chats of a workspace share.
    pub system_prompt_words: u64,
    /// Minimum and maximum number of words in a user message.
    pub turn_words: (u64, u64),
    /// Minimum and maximum number of turns in a chat.
    pub turns: (u64, u64),
    /// Minimum and maximum time between the turns of a chat, in ms.
    pub think_time_ms: (u64, u64),
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Number of routers; each request goes to a random one.
    pub routers: u64,
    /// Optional surge.
    pub surge: Option<SurgeLoad>,
    /// Optional resends of non-repeatable calls.
    pub resends: Option<ResendLoad>,
}

impl Default for LoadSpec {
    fn default() -> Self {
        Self {
            seed: 1,
            span_ms: 20_000,
            chats_per_s: 10.0,
            calls_per_s: 0.0,
            weights: vec![6, 5, 4, 1, 1, 1, 1, 1, 1, 1],
            chat_classes: Vec::new(),
            call_classes: Vec::new(),
            service_pool: "deck-api".to_owned(),
            system_prompt_words: 256,
            turn_words: (60, 180),
            turns: (5, 15),
            think_time_ms: (2_000, 5_000),
            answer_tokens: 24,
            routers: 3,
            surge: None,
            resends: None,
        }
    }
}

/// A chat with all its turns: the system prompt, followed by alternating user and assistant messages.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatScript {
    /// The chat's name.
    pub name: String,
    /// All messages, including the last answer.
    pub messages: Vec<ChatMessage>,
}

impl ChatScript {
    /// The messages sent in turn `turn`, counted from 0.
    pub fn prompt(&self, turn: usize) -> &[ChatMessage] {
        &self.messages[..turn * 2 + 2]
    }

    /// The answer to turn `turn`.
    pub fn answer(&self, turn: usize) -> &str {
        &self.messages[turn * 2 + 2].content
    }
}

/// The work that a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceWork {
    /// A turn of a chat.
    Chat {
        /// The chat.
        script: Arc<ChatScript>,
        /// The turn, counted from 0.
        turn: usize,
        /// Tokens of the answer.
        answer_tokens: u32,
    },
    /// A call of a plain service.
    Call {
        /// Request path on the router, including the pool.
        path: String,
        /// The body.
        body: String,
        /// Identifies the idempotency key; resends share the number.
        key: Option<u64>,
    },
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceCall {
    /// Arrival time in ms from the start of the load.
    pub at_ms: u64,
    /// The workspace.
    pub workspace: String,
    /// The class.
    pub class: String,
    /// The router it goes to.
    pub router: usize,
    /// Hash of the prompt or body, as written to the upstream journals. Unique per request, except that resends of a
    /// key share it.
    pub content: u64,
    /// The work.
    pub work: TraceWork,
}

/// Generates all requests of a load, ordered by arrival time.
pub fn build_trace(spec: &LoadSpec) -> Vec<TraceCall> {
    let mut calls = Vec::new();
    let total: u64 = spec.weights.iter().sum();
    let think_time_s = (spec.think_time_ms.0 + spec.think_time_ms.1) as f64 / 2_000.0;
    for (workspace, weight) in spec.weights.iter().enumerate() {
        let share = *weight as f64 / total as f64;
        let slots = (share * spec.chats_per_s * think_time_s).round() as u64;
        for slot in 0..slots {
            push_chats(&mut calls, spec, workspace, slot, (0, spec.span_ms));
        }
        let Some(surge) = &spec.surge else {
            continue;
        };
        if !surge.workspaces.contains(&workspace) {
            continue;
        }
        let window = (surge.from_ms, surge.to_ms.min(spec.span_ms));
        for slot in slots..slots * surge.factor {
            push_chats(&mut calls, spec, workspace, slot, window);
        }
    }
    push_calls(&mut calls, spec);
    calls.sort_by_key(|call| (call.at_ms, call.content));
    calls
}

/// The mean work of a chat turn in the trace, used to compute the capacity of the engines.
pub fn mean_work(calls: &[TraceCall]) -> RequestWork {
    let mut count = 0_u64;
    let mut tokens = 0_u64;
    let mut answer = 0_u64;
    for call in calls {
        let TraceWork::Chat {
            script,
            turn,
            answer_tokens,
        } = &call.work
        else {
            continue;
        };
        count += 1;
        answer += u64::from(*answer_tokens);
        // A turn adds the user message and, after the first turn, the previous answer.
        let first = if *turn == 0 { 1 } else { turn * 2 };
        tokens += prompt_tokens(&script.prompt(*turn)[first..]).len() as u64;
    }
    let count = count.max(1) as f64;
    RequestWork {
        answer_tokens: answer as f64 / count,
        new_tokens: tokens as f64 / count,
    }
}

/// Arrival rate of chat turns between `from_ms` and `to_ms`, per second.
pub fn chat_rate(calls: &[TraceCall], from_ms: u64, to_ms: u64) -> f64 {
    let mut count = 0_u64;
    for call in calls {
        let is_chat = matches!(call.work, TraceWork::Chat { .. });
        count += u64::from(is_chat && (from_ms..to_ms).contains(&call.at_ms));
    }
    count as f64 * 1_000.0 / to_ms.saturating_sub(from_ms).max(1) as f64
}

/// Appends the consecutive chats of one slot within a time window.
fn push_chats(
    calls: &mut Vec<TraceCall>,
    spec: &LoadSpec,
    workspace: usize,
    slot: u64,
    window: (u64, u64),
) {
    let name = format!("workspace-{workspace}");
    let slot_hash = StableHash::new()
        .field(name.as_bytes())
        .field(&slot.to_le_bytes())
        .finish();
    let mut random = SeededRandom::new(spec.seed ^ slot_hash);
    let mut at_ms = window.0 + random.below(spec.think_time_ms.1);
    let mut number = 0;
    while at_ms < window.1 {
        // The first chat of a slot is shortened at random, so that the chats of a run do not all end together.
        let turns = match number {
            0 => 1 + random.below(spec.turns.1),
            _ => random_in(&mut random, spec.turns),
        };
        let class = sample_class(&spec.chat_classes, &mut random).name.clone();
        let script = Arc::new(build_script(
            spec,
            &name,
            format!("chat-{workspace}-{slot}-{number}"),
            turns,
            &mut random,
        ));
        for turn in 0..turns as usize {
            if at_ms >= window.1 {
                break;
            }
            calls.push(TraceCall {
                at_ms,
                workspace: name.clone(),
                class: class.clone(),
                router: random.below(spec.routers) as usize,
                content: prompt_hash(&prompt_tokens(script.prompt(turn))),
                work: TraceWork::Chat {
                    script: Arc::clone(&script),
                    turn,
                    answer_tokens: spec.answer_tokens,
                },
            });
            at_ms += random_in(&mut random, spec.think_time_ms);
        }
        number += 1;
    }
}

fn build_script(
    spec: &LoadSpec,
    workspace: &str,
    name: String,
    turns: u64,
    random: &mut SeededRandom,
) -> ChatScript {
    let hash = StableHash::hash_bytes(workspace.as_bytes());
    let mut prompt_random = SeededRandom::new(spec.seed ^ hash);
    let mut messages = vec![message(
        "system",
        seeded_words(&mut prompt_random, spec.system_prompt_words as usize),
    )];
    for _ in 0..turns {
        let count = random_in(random, spec.turn_words) as usize;
        messages.push(message("user", seeded_words(random, count)));
        let answer = full_answer(&messages, spec.answer_tokens);
        messages.push(message("assistant", answer));
    }
    ChatScript { name, messages }
}

fn push_calls(calls: &mut Vec<TraceCall>, spec: &LoadSpec) {
    if spec.call_classes.is_empty() {
        return;
    }
    let mut random = SeededRandom::new(spec.seed ^ 0x5eed_ca11);
    let count = (spec.calls_per_s * spec.span_ms as f64 / 1_000.0) as u64;
    for number in 0..count {
        let class = sample_class(&spec.call_classes, &mut random).clone();
        let workspace = random.below(spec.weights.len() as u64);
        let body = format!("{{\"order\":\"{}-{number}\"}}", spec.seed);
        let first = TraceCall {
            at_ms: random.below(spec.span_ms),
            workspace: format!("workspace-{workspace}"),
            class: class.name.clone(),
            router: random.below(spec.routers) as usize,
            content: StableHash::hash_bytes(body.as_bytes()),
            work: TraceWork::Call {
                path: format!("/svc/{}/{}", spec.service_pool, class.name),
                body,
                key: (!class.repeatable).then_some(number),
            },
        };
        if let (Some(resends), false) = (&spec.resends, class.repeatable) {
            for step in 1..=resends.count {
                calls.push(TraceCall {
                    at_ms: first.at_ms + random.below(resends.within_ms),
                    router: (first.router + step as usize) % spec.routers as usize,
                    ..first.clone()
                });
            }
        }
        calls.push(first);
    }
}

fn sample_class<'a>(classes: &'a [ClassLoad], random: &mut SeededRandom) -> &'a ClassLoad {
    let total: u64 = classes.iter().map(|class| class.weight).sum();
    let mut remaining = random.below(total);
    for class in classes {
        if remaining < class.weight {
            return class;
        }
        remaining -= class.weight;
    }
    &classes[0]
}

fn random_in(random: &mut SeededRandom, range: (u64, u64)) -> u64 {
    range.0 + random.below(range.1 - range.0 + 1)
}

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage {
        role: role.to_owned(),
        content,
    }
}
