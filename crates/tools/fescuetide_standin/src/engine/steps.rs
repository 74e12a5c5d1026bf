//! The steps of the engine: a batch is filled, and each request in it generates a token.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use fescuetide_wire::api::TokenUsage;

use super::EngineNews;
use super::EngineSequence;
use super::EngineStandIn;
use super::EngineState;
use super::LOAD_SAMPLES;
use super::note_delta;
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
        state.loads.push_back((Instant::now(), load));
        if state.loads.len() > LOAD_SAMPLES {
            state.loads.pop_front();
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
        let mut budget = self.settings.prefill_tokens;
        let mut index = 0;
        while index < running.len() {
            if self.step_sequence(&mut running[index], cache, events, &mut budget) {
                running.remove(index);
            } else {
                index += 1;
            }
        }
    }

    /// Moves the waiting requests of lowest priority number into the batch.
    fn fill_batch(&self, state: &mut EngineState) {
        state.waiting.sort_by_key(|sequence| sequence.priority);
        while state.running.len() < self.settings.batch_limit && !state.waiting.is_empty() {
            let mut sequence = state.waiting.remove(0);
            sequence.cached = state.cache.cached_tokens(&sequence.tokens);
            sequence.prefill_left = Some(sequence.tokens.len() - sequence.cached);
            self.write_line(JournalEvent::Start, &sequence);
            if sequence.crashes {
                std::process::exit(CRASH_EXIT_CODE);
            }
            state.running.push(sequence);
        }
    }

    /// Advances one request. Returns whether it has ended.
    fn step_sequence(
        &self,
        sequence: &mut EngineSequence,
        cache: &mut PrefixCache,
        events: &mut CacheEventLog,
        budget: &mut usize,
    ) -> bool {
        if let Some(left) = sequence.prefill_left {
            let taken = left.min(*budget);
            *budget -= taken;
            if taken < left {
                sequence.prefill_left = Some(left - taken);
                return false;
            }
            sequence.prefill_left = None;
            note_delta(events, cache.store(&sequence.tokens));
            self.write_line(JournalEvent::Cached, sequence);
        }
        if sequence.next_index < sequence.length {
            let text = answer_token(sequence.prompt, sequence.next_index);
            append_text_tokens(&mut sequence.tokens, &text);
            sequence.next_index += 1;
            if sequence.news.send(EngineNews::Token(text)).is_err() {
                // The reader is gone.
                self.write_line(JournalEvent::Cancelled, sequence);
                return true;
            }
        }
        if sequence.next_index < sequence.length {
            return false;
        }
        note_delta(events, cache.store(&sequence.tokens));
        self.write_line(JournalEvent::Done, sequence);
        let generated = u64::from(sequence.length);
        let prompt_tokens = (sequence.tokens.len() as u64).saturating_sub(generated);
        let _ = sequence.news.send(EngineNews::Done(TokenUsage {
            prompt_tokens,
            cached_tokens: sequence.cached as u64,
            completion_tokens: generated,
        }));
        true
    }
}
