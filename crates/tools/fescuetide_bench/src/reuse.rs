//! Cache reuse: prompt tokens served from cache ÷ prompt tokens that an ideal router could have served from cache.
//!
//! The journals of all engines are replayed in time order. At the start of each run, the ideal is the longest prefix,
//! in whole cache blocks, that any live engine has processed before, regardless of how long ago. An engine counts as
//! live until it is killed, even while it is listed as leaving.

use std::collections::HashSet;
use std::sync::Arc;

use fescuetide_standin::answer::append_text_tokens;
use fescuetide_standin::answer::prompt_tokens;
use fescuetide_standin::journal::JournalEvent;
use fescuetide_standin::journal::JournalLine;
use fescuetide_standin::prefix::BLOCK_TOKENS;
use fescuetide_standin::prefix::chained_block_hashes;
use indexmap::IndexMap;

use crate::action::ActionRecord;
use crate::action::FaultAction;
use crate::trace::TraceCall;
use crate::trace::TraceWork;

/// Token counts summed over runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReuseTally {
    /// All prompt tokens.
    pub prompt: u64,
    /// Tokens served from cache.
    pub served: u64,
    /// Tokens that an ideal router could have served from cache.
    pub ideal: u64,
    /// Like `ideal`, but excluding engines listed as leaving, which accept no new work.
    pub ideal_listed: u64,
}

impl ReuseTally {
    /// The ratio of served to ideal tokens.
    pub fn ratio(&self) -> f64 {
        self.served as f64 / self.ideal.max(1) as f64
    }

    /// The ratio to the ideal without leaving engines.
    pub fn ratio_listed(&self) -> f64 {
        self.served as f64 / self.ideal_listed.max(1) as f64
    }

    fn add(&mut self, other: &Self) {
        self.prompt += other.prompt;
        self.served += other.served;
        self.ideal += other.ideal;
        self.ideal_listed += other.ideal_listed;
    }
}

/// Reuse of a run.
#[derive(Clone, Debug, Default)]
pub struct ReuseReport {
    /// Over the whole run.
    pub total: ReuseTally,
    /// For each second of the run.
    pub seconds: Vec<ReuseTally>,
}

struct PromptChain {
    prompt_tokens: u64,
    prompt_blocks: usize,
    /// Block hashes of prompt and answer.
    blocks: Vec<u64>,
}

/// Computes the reuse of a run that started at `started_ms`. `journal` must be in time order.
pub fn compute_reuse(
    calls: &[TraceCall],
    journal: &[JournalLine],
    actions: &[ActionRecord],
    started_ms: u64,
) -> ReuseReport {
    let chains = build_prompt_chains(calls);
    let mut report = ReuseReport::default();
    let mut caches: IndexMap<&str, HashSet<u64>> = IndexMap::new();
    let mut leaving: Vec<&str> = Vec::new();
    let mut due = actions.iter().peekable();
    for line in journal {
        while let Some(record) = due.next_if(|record| record.at_ms <= line.at_ms) {
            match record.action {
                FaultAction::ListLeaving(_) => leaving.push(&record.vm),
                FaultAction::RemoveVm(_) => {
                    caches.swap_remove(record.vm.as_str());
                }
                _ => {}
            }
        }
        let Some(chain) = chains.get(&line.content) else {
            continue;
        };
        match line.event {
            JournalEvent::Start => {
                let tally = tally_start(line, chain, &caches, &leaving);
                let second = (line.at_ms.saturating_sub(started_ms) / 1_000) as usize;
                if report.seconds.len() <= second {
                    report.seconds.resize(second + 1, ReuseTally::default());
                }
                report.seconds[second].add(&tally);
                report.total.add(&tally);
            }
            JournalEvent::Cached => {
                let blocks = &chain.blocks[..chain.prompt_blocks];
                caches.entry(&line.name).or_default().extend(blocks);
            }
            JournalEvent::Done => caches.entry(&line.name).or_default().extend(&chain.blocks),
            _ => {}
        }
    }
    report
}

fn tally_start(
    line: &JournalLine,
    chain: &PromptChain,
    caches: &IndexMap<&str, HashSet<u64>>,
    leaving: &[&str],
) -> ReuseTally {
    let mut tally = ReuseTally {
        prompt: chain.prompt_tokens,
        served: line.cached_tokens,
        ..ReuseTally::default()
    };
    for (name, cache) in caches {
        let mut tokens = 0;
        for block in &chain.blocks[..chain.prompt_blocks] {
            if !cache.contains(block) {
                break;
            }
            tokens += BLOCK_TOKENS as u64;
        }
        tally.ideal = tally.ideal.max(tokens);
        if !leaving.contains(name) {
            tally.ideal_listed = tally.ideal_listed.max(tokens);
        }
    }
    tally
}

fn build_prompt_chains(calls: &[TraceCall]) -> IndexMap<u64, PromptChain> {
    let mut chains = IndexMap::new();
    for call in calls {
        let TraceWork::Chat { script, turn, .. } = &call.work else {
            continue;
        };
        let script = Arc::clone(script);
        let mut tokens = prompt_tokens(script.prompt(*turn));
        let count = tokens.len();
        append_text_tokens(&mut tokens, script.answer(*turn));
        let chain = PromptChain {
            prompt_tokens: count as u64,
            prompt_blocks: count / BLOCK_TOKENS,
            blocks: chained_block_hashes(&tokens).collect(),
        };
        chains.insert(call.content, chain);
    }
    chains
}
