//! The choice between moving a cached prefix and computing it again.

use fescuetide_base::SpanMillis;
use fescuetide_base::TokenCount;

/// Estimates whether moving a prefix's KV cache to another engine is cheaper than computing the prefix there.
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
    /// Prompt tokens that an engine computes in a second.
    pub prefill_tokens_per_s: u64,
    /// Prompt tokens whose KV cache is exported, sent and imported in a second.
    pub transfer_tokens_per_s: u64,
    /// Time of a transfer besides its tokens.
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
    /// Whether a transfer of `tokens` takes less time than computing them.
    pub fn is_worthwhile(&self, tokens: TokenCount) -> bool {
        let transfer = tokens.get() * 1_000 / self.transfer_tokens_per_s.max(1);
        transfer + self.overhead.as_millis() < self.prefill_time(tokens).as_millis()
    }

    /// The time to compute `tokens`.
    pub fn prefill_time(&self, tokens: TokenCount) -> SpanMillis {
        SpanMillis::new(tokens.get() * 1_000 / self.prefill_tokens_per_s.max(1))
    }
}
