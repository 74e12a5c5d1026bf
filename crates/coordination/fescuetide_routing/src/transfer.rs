//! Cost model for KV cache transfer versus prefill.

use fescuetide_base::SpanMillis;
use fescuetide_base::TokenCount;

/// Estimates whether transferring the KV cache of a prefix to another engine is cheaper than recomputing it there.
///
/// ```
/// use fescuetide_base::TokenCount;
/// use fescuetide_routing::TransferEstimate;
///
/// let estimate = TransferEstimate::default();
/// assert!(!estimate.is_worthwhile(TokenCount::new(50)));
/// assert!(estimate.is_worthwhile(TokenCount::new(5_000)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferEstimate {
    /// Prefill throughput of an engine in prompt tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Throughput of exporting, sending and importing KV cache, in prompt tokens per second.
    pub transfer_tokens_per_s: u64,
    /// Fixed cost of a transfer, independent of its size.
    pub overhead: SpanMillis,
}

impl Default for TransferEstimate {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: 20_000,
            transfer_tokens_per_s: 100_000,
            overhead: SpanMillis::new(3),
        }
    }
}

impl TransferEstimate {
    /// Returns whether transferring `tokens` takes less time than recomputing them.
    pub fn is_worthwhile(&self, tokens: TokenCount) -> bool {
        let transfer = tokens.get() * 1_000 / self.transfer_tokens_per_s.max(1);
        transfer + self.overhead.as_millis() < self.prefill_time(tokens).as_millis()
    }

    /// Returns the time to prefill `tokens`.
    pub fn prefill_time(&self, tokens: TokenCount) -> SpanMillis {
        SpanMillis::new(tokens.get() * 1_000 / self.prefill_tokens_per_s.max(1))
    }
}
