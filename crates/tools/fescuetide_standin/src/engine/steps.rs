//! The step loop of the engine: fills the batch, runs prefill and generates one token per request.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_wire::api::TokenUsage;

use super::EngineSequence;
use super::EngineStandIn;
use super::EngineState;
use super::GenerationEvent;
use super::RETAINED_LOAD_SAMPLES;
use super::record_cache_delta;
use crate::answer::answer_token;
use crate::answer::append_text_tokens;
use crate::cache_events::CacheEventLog;
use crate::journal::JournalEvent;
use crate::prefix::PrefixCache;
use crate::service::CRASH_EXIT_CODE;

impl EngineStandIn {
    pub(super) fn run_steps(&self) {
        loop {
            thread::sleep(Duration::from_millis(self.settings.step_ms));
            self.run_step();
        }
    }

    fn run_step(&self) {
        let mut state = self.lock();
        let load = state.load();
        state.load_samples.push_back((Instant::now(), load));
        if state.load_samples.len() > RETAINED_LOAD_SAMPLES {
            state.load_samples.pop_front();
        }
        if self.faults.get().paused {
            return;
        }
        self.fill_batch(&mut state);
        let EngineState {
            running,
            cache,
            events,
            ..
        } = &mut *state;
        let mut prefill_budget = self.settings.prefill_tokens;
        let mut index = 0;
        while index < running.len() {
            if self.step_sequence(&mut running[index], cache, events, &mut prefill_budget) {
                running.remove(index);
            } else {
                index += 1;
            }
        }
    }

    /// Moves waiting requests into the batch, those with the lowest priority number first.
    fn fill_batch(&self, state: &mut EngineState) {
        state.waiting.sort_by_key(|sequence| sequence.priority);
        while state.running.len() < self.settings.batch_limit && !state.waiting.is_empty() {
            let mut sequence = state.waiting.remove(0);
            sequence.cached_tokens = state.cache.cached_tokens(&sequence.tokens);
            sequence.remaining_prefill_tokens =
                Some(sequence.tokens.len() - sequence.cached_tokens);
            self.write_journal_line(JournalEvent::Start, &sequence);
            if sequence.triggers_crash {
                std::process::exit(CRASH_EXIT_CODE);
            }
            state.running.push(sequence);
        }
    }

    /// Advances one request by one step. Returns whether the request has ended.
    fn step_sequence(
        &self,
        sequence: &mut EngineSequence,
        cache: &mut PrefixCache,
        events: &mut CacheEventLog,
        prefill_budget: &mut usize,
    ) -> bool {
        if let Some(remaining) = sequence.remaining_prefill_tokens {
            let prefilled = remaining.min(*prefill_budget);
            *prefill_budget -= prefilled;
            if prefilled < remaining {
                sequence.remaining_prefill_tokens = Some(remaining - prefilled);
                return false;
            }
            sequence.remaining_prefill_tokens = None;
            record_cache_delta(events, cache.store(&sequence.tokens));
            self.write_journal_line(JournalEvent::Cached, sequence);
        }
        if sequence.next_token_index < sequence.answer_tokens {
            let text = answer_token(sequence.prompt_hash, sequence.next_token_index);
            append_text_tokens(&mut sequence.tokens, &text);
            sequence.next_token_index += 1;
            if sequence
                .event_sender
                .send(GenerationEvent::Token(text))
                .is_err()
            {
                // The receiver was dropped because the caller disconnected.
                self.write_journal_line(JournalEvent::Cancelled, sequence);
                return true;
            }
        }
        if sequence.next_token_index < sequence.answer_tokens {
            return false;
        }
        record_cache_delta(events, cache.store(&sequence.tokens));
        self.write_journal_line(JournalEvent::Done, sequence);
        let generated = u64::from(sequence.answer_tokens);
        let prompt_tokens = (sequence.tokens.len() as u64).saturating_sub(generated);
        let _ = sequence
            .event_sender
            .send(GenerationEvent::Done(TokenUsage {
                prompt_tokens,
                cached_tokens: sequence.cached_tokens as u64,
                completion_tokens: generated,
            }));
        true
    }
}
