//! Open-loop load: every request with its time of arrival, computed from a seed before the run.
//!
//! Stand-in engines' answers depend on the prompt only, so the later turns of a chat are known in advance and do not
//! wait for the answers to earlier ones.

use std::sync::Arc;

use fescuetide_base::StableHash;
use fescuetide_standin::answer::prompt_hash;
use fescuetide_standin::answer::prompt_tokens;
use fescuetide_standin::answer::whole_answer;
use fescuetide_wire::api::ChatMessage;

use crate::engines::RequestWork;
use crate::workload::SeededRandom;
use crate::workload::seeded_words;

/// A class of work in the load.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The class.
    pub name: String,
    /// Its share of the requests of its kind, relative to the other classes.
    pub weight: u64,
    /// Whether its requests may run again.
    pub repeatable: bool,
}

/// Some workspaces that send more than usual for a while.
#[derive(Clone, Debug)]
pub struct SurgeLoad {
    /// Indices of the workspaces.
    pub workspaces: Vec<usize>,
    /// Multiple of their usual rate.
    pub factor: u64,
    /// When it begins, in ms.
    pub from_ms: u64,
    /// When it ends, in ms.
    pub to_ms: u64,
}

/// Keys that are sent again at other routers while the first send may still be running.
#[derive(Clone, Debug)]
pub struct ResendLoad {
    /// How often each key is sent again.
    pub count: u64,
    /// Longest time after the first send, in ms.
    pub within_ms: u64,
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The seed.
    pub seed: u64,
    /// How long requests arrive, in ms.
    pub span_ms: u64,
    /// Chat turns per second outside of a surge.
    pub chats_per_s: f64,
    /// Calls of plain services per second.
    pub calls_per_s: f64,
    /// The workspaces' shares, relative to each other.
    pub weights: Vec<u64>,
    /// Classes of chats.
    pub chat_classes: Vec<ClassLoad>,
    /// Classes of service calls.
    pub call_classes: Vec<ClassLoad>,
    /// The pool of plain services.
    pub service_pool: String,
    /// Words of a workspace's guide, with which all its chats begin.
    pub guide_words: u64,
    /// Least and most words of a user's message.
    pub turn_words: (u64, u64),
    /// Least and most turns of a chat.
    pub turns: (u64, u64),
    /// Shortest and longest time between a chat's turns, in ms.
    pub gap_ms: (u64, u64),
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Number of routers; each request goes to any of them.
    pub routers: u64,
    /// A surge.
    pub surge: Option<SurgeLoad>,
    /// Resends of calls that are not repeatable.
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
            guide_words: 256,
            turn_words: (60, 180),
            turns: (5, 15),
            gap_ms: (2_000, 5_000),
            answer_tokens: 24,
            routers: 3,
            surge: None,
            resends: None,
        }
    }
}

/// A chat with all its turns. User and assistant messages alternate behind the guide.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatScript {
    /// The chat's name.
    pub name: String,
    /// All messages, the last answer included.
    pub messages: Vec<ChatMessage>,
}

impl ChatScript {
    /// The messages that turn `turn` (from 0) sends.
    pub fn prompt(&self, turn: usize) -> &[ChatMessage] {
        &self.messages[..turn * 2 + 2]
    }

    /// The answer to turn `turn`.
    pub fn answer(&self, turn: usize) -> &str {
        &self.messages[turn * 2 + 2].content
    }
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceWork {
    /// A turn of a chat.
    Chat {
        /// The chat.
        script: Arc<ChatScript>,
        /// The turn, from 0.
        turn: usize,
        /// Tokens of the answer.
        answer_tokens: u32,
    },
    /// A call of a plain service.
    Call {
        /// Path with pool, as the router takes it.
        path: String,
        /// The body.
        body: String,
        /// The number of the idempotency key, the same for all sends of one key.
        key: Option<u64>,
    },
}

/// One request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceCall {
    /// When it arrives, in ms from the start.
    pub at_ms: u64,
    /// The workspace.
    pub workspace: String,
    /// The class.
    pub class: String,
    /// The router it goes to.
    pub router: usize,
    /// The hash of prompt or body that the upstream journals. It differs between requests, except between sends of one
    /// key.
    pub content: u64,
    /// What it asks for.
    pub work: TraceWork,
}

/// Computes all requests of a load, in order of arrival.
pub fn build_trace(spec: &LoadSpec) -> Vec<TraceCall> {
    let mut calls = Vec::new();
    let total: u64 = spec.weights.iter().sum();
    let gap_s = (spec.gap_ms.0 + spec.gap_ms.1) as f64 / 2_000.0;
    for (workspace, weight) in spec.weights.iter().enumerate() {
        let share = *weight as f64 / total as f64;
        let slots = (share * spec.chats_per_s * gap_s).round() as u64;
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

/// The work of the trace's mean chat turn, for the engines' capacity.
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
        // New in a turn are the user's message and, behind the first one, the answer before it.
        let first = if *turn == 0 { 1 } else { turn * 2 };
        tokens += prompt_tokens(&script.prompt(*turn)[first..]).len() as u64;
    }
    let count = count.max(1) as f64;
    RequestWork {
        answer_tokens: answer as f64 / count,
        new_tokens: tokens as f64 / count,
    }
}

/// Chat turns per second that arrive from `from_ms` to `to_ms`.
pub fn chat_rate(calls: &[TraceCall], from_ms: u64, to_ms: u64) -> f64 {
    let mut count = 0_u64;
    for call in calls {
        let is_chat = matches!(call.work, TraceWork::Chat { .. });
        count += u64::from(is_chat && (from_ms..to_ms).contains(&call.at_ms));
    }
    count as f64 * 1_000.0 / to_ms.saturating_sub(from_ms).max(1) as f64
}

/// Appends the chats of one slot, one after the other, within a window of time.
fn push_chats(
    calls: &mut Vec<TraceCall>,
    spec: &LoadSpec,
    workspace: usize,
    slot: u64,
    window: (u64, u64),
) {
    let name = format!("workspace-{workspace}");
    let place = StableHash::new()
        .field(name.as_bytes())
        .field(&slot.to_le_bytes())
        .finish();
    let mut random = SeededRandom::new(spec.seed ^ place);
    let mut at_ms = window.0 + random.below(spec.gap_ms.1);
    let mut number = 0;
    while at_ms < window.1 {
        // The first chat of a slot is cut short, so that not all chats of the run end at the same time.
        let turns = match number {
            0 => 1 + random.below(spec.turns.1),
            _ => between(&mut random, spec.turns),
        };
        let class = pick_class(&spec.chat_classes, &mut random).name.clone();
        let script = Arc::new(make_script(
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
            at_ms += between(&mut random, spec.gap_ms);
        }
        number += 1;
    }
}

fn make_script(
    spec: &LoadSpec,
    workspace: &str,
    name: String,
    turns: u64,
    random: &mut SeededRandom,
) -> ChatScript {
    let hash = StableHash::hash_bytes(workspace.as_bytes());
    let mut guide = SeededRandom::new(spec.seed ^ hash);
    let mut messages = vec![message(
        "system",
        seeded_words(&mut guide, spec.guide_words as usize),
    )];
    for _ in 0..turns {
        let count = between(random, spec.turn_words) as usize;
        messages.push(message("user", seeded_words(random, count)));
        let answer = whole_answer(&messages, spec.answer_tokens);
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
        let class = pick_class(&spec.call_classes, &mut random).clone();
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

fn pick_class<'a>(classes: &'a [ClassLoad], random: &mut SeededRandom) -> &'a ClassLoad {
    let total: u64 = classes.iter().map(|class| class.weight).sum();
    let mut place = random.below(total);
    for class in classes {
        if place < class.weight {
            return class;
        }
        place -= class.weight;
    }
    &classes[0]
}

fn between(random: &mut SeededRandom, range: (u64, u64)) -> u64 {
    range.0 + random.below(range.1 - range.0 + 1)
}

fn message(role: &str, content: String) -> ChatMessage {
    ChatMessage {
        role: role.to_owned(),
        content,
    }
}
