//! The stand-in engines' speed, and the capacity that follows from it.

/// The options that stand-in engines are started with.
#[derive(Clone, Copy, Debug)]
pub struct EngineScale {
    /// Time of one step in ms. Each running request generates one token a step.
    pub step_ms: u64,
    /// Prompt tokens that one step can take in.
    pub prefill_tokens: u64,
    /// Most requests that run at once.
    pub batch_limit: u64,
    /// Size of the prefix cache in blocks.
    pub cache_blocks: u64,
}

impl Default for EngineScale {
    /// 54 ms between tokens as in the design size. The cache holds 32,768 tokens, about twice what an engine's share
    /// of the active chats and guides needs, so that routing that spreads chats over all engines runs out of cache.
    fn default() -> Self {
        Self {
            step_ms: 54,
            prefill_tokens: 400,
            batch_limit: 16,
            cache_blocks: 2_048,
        }
    }
}

/// The work of a mean request.
#[derive(Clone, Copy, Debug)]
pub struct RequestWork {
    /// Tokens of the answer.
    pub answer_tokens: f64,
    /// Prompt tokens that no cache can hold: those that are new in a turn.
    pub new_tokens: f64,
}

impl EngineScale {
    /// Requests per second that one engine sustains when every earlier prompt is cached: the lower one of the limits
    /// by decoding (a request holds a place in the batch for a step per answer token) and by prefill.
    pub fn capacity_per_s(&self, work: RequestWork) -> f64 {
        let steps_per_s = 1_000.0 / self.step_ms as f64;
        let decode = self.batch_limit as f64 * steps_per_s / work.answer_tokens;
        let prefill = self.prefill_tokens as f64 * steps_per_s / work.new_tokens;
        decode.min(prefill)
    }

    /// The options of `fescuetide-standin engine`.
    pub fn options(&self) -> Vec<String> {
        let mut options = Vec::new();
        for (name, value) in [
            ("--step-ms", self.step_ms),
            ("--prefill-tokens", self.prefill_tokens),
            ("--batch-limit", self.batch_limit),
            ("--cache-blocks", self.cache_blocks),
        ] {
            options.extend([name.to_owned(), value.to_string()]);
        }
        options
    }
}
