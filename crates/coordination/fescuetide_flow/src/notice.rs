//! Notices about decisions of the scheduler, for logs and counters.

use fescuetide_base::PoolName;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;

use crate::FlowKey;
use crate::OriginSource;
use crate::VersionVotes;

/// Maximum number of notices that are kept until [`NoticeQueue::take`] is called.
const NOTICE_LIMIT: usize = 256;

/// A decision of the scheduler, or what it rests on.
#[derive(Clone, Debug, PartialEq)]
pub enum FlowNotice {
    /// A request was not sent again, since the retry budget of its pool is used up.
    RetryDenied {
        /// The request.
        key: FlowKey,
        /// The pool.
        pool: PoolName,
        /// The retries that this gateway may accumulate.
        burst: f64,
    },
    /// Retries may be made beyond those that requests earn.
    BurstGranted {
        /// How many may accumulate for each pool.
        burst: f64,
    },
    /// An upstream has announced that it leaves.
    LeavingAnnounced {
        /// The upstream.
        upstream: VmName,
    },
    /// A load that an upstream reported, or that another gateway told, is not plausible and was ignored.
    LoadRejected {
        /// Running and queued requests, as reported.
        load: u32,
    },
    /// An upstream wants no requests from this gateway for some time.
    PauseStarted {
        /// The upstream.
        upstream: VmName,
        /// How long.
        pause: SpanMillis,
    },
    /// An upstream that had named no rate limit names one.
    RateLimited {
        /// The upstream.
        upstream: VmName,
        /// The requests that it takes from all gateways together.
        rate: RequestRate,
    },
    /// An upstream names no rate limit any more.
    RateLimitEnded {
        /// The upstream.
        upstream: VmName,
    },
    /// It is known where a stream began that a request takes up.
    OriginFound {
        /// The request.
        key: FlowKey,
        /// How it became known.
        source: OriginSource,
    },
    /// It could not be found out where a stream began that a request takes up.
    OriginUnknown {
        /// The request.
        key: FlowKey,
        /// What other gateways know of versions.
        votes: VersionVotes,
    },
}

/// Notices that the process has not taken yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct NoticeQueue {
    notices: Vec<FlowNotice>,
}

impl NoticeQueue {
    /// Adds a notice, or drops it if there are [`NOTICE_LIMIT`] already.
    pub(crate) fn push(&mut self, notice: FlowNotice) {
        if self.notices.len() < NOTICE_LIMIT {
            self.notices.push(notice);
        }
    }

    /// Removes and returns all notices.
    pub(crate) fn take(&mut self) -> Vec<FlowNotice> {
        std::mem::take(&mut self.notices)
    }
}
