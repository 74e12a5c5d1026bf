//! Speed of the stand-in engines and their resulting capacity.

/// Performance parameters of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub struct EnginePerformance {
    /// Duration of a step in ms. Each running request generates one token per step.
    pub step_ms: u64,
    /// Prompt tokens processed per step.
    pub prefill_tokens: u64,
    /// Maximum number of concurrently running requests.
    pub batch_limit: u64,
    /// Size of the prefix cache in blocks.
    pub cache_blocks: u64,
}

impl Default for EnginePerformance {
    /// 54 ms between tokens, as in the design size. The cache holds 32,768 tokens, about twice what an engine's share
    /// of the active chats and system prompts needs, so that routing that spreads chats over all engines overflows the
    /// cache.
    fn default() -> Self {
        Self {
            step_ms: 54,
            prefill_tokens: 400,
            batch_limit: 16,
            cache_blocks: 2_048,
        }
    }
}

/// Mean work per request.
#[derive(Clone, Copy, Debug)]
pub struct RequestWork {
    /// Tokens of the answer.
    pub answer_tokens: f64,
    /// Prompt tokens that are new in a turn and so cannot be cached.
    pub new_tokens: f64,
}

impl EnginePerformance {
    /// Requests per second that one engine sustains when all earlier prompts are cached: the lower of the decode limit
    /// (a request occupies a batch slot for one step per answer token) and the prefill limit.
    pub fn capacity_per_s(&self, work: RequestWork) -> f64 {
        let steps_per_s = 1_000.0 / self.step_ms as f64;
        let decode = self.batch_limit as f64 * steps_per_s / work.answer_tokens;
        let prefill = self.prefill_tokens as f64 * steps_per_s / work.new_tokens;
        decode.min(prefill)
    }

    /// Command line options of `fescuetide-standin engine`.
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
