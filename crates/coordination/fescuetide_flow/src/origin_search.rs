//! Which gateways are told, and asked, where event streams began.

use std::cmp::Reverse;
use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_routing::score_upstream;
use indexmap::IndexMap;

use crate::StreamKey;

/// Number of other gateways that are told where a stream began, and that are asked. Some of them may be gone, or not know
/// each other yet.
const HOLDER_COUNT: usize = 5;

/// Time after which gateways that have not answered are asked again, since datagrams may be lost.
const REPEAT_INTERVAL: SpanMillis = SpanMillis::new(60);

/// Time after which a search is given up. A caller waits for it.
const ANSWER_TIMEOUT: SpanMillis = SpanMillis::new(300);

/// The gateways among `peers` that are told where a stream began: those that rank highest for it, by rendezvous hashing. A
/// gateway at which the stream is taken up finds mostly the same ones, also when the first gateway is gone.
pub fn stream_holders(stream: StreamKey, peers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut holders = peers.to_vec();
    let score = |peer: &SocketAddr| {
        let id = StableHash::hash_bytes(peer.to_string().as_bytes());
        Reverse(score_upstream(stream.get(), id))
    };
    holders.sort_by_cached_key(score);
    holders.truncate(HOLDER_COUNT);
    holders
}

/// A stream whose origin other gateways are asked for.
#[derive(Clone, Debug)]
struct SoughtStream {
    /// The gateways that have not answered.
    unanswered: Vec<SocketAddr>,
    next_at: ClockMillis,
    deadline: ClockMillis,
}

/// The streams whose origins other gateways are asked for.
#[derive(Clone, Debug, Default)]
pub struct OriginSearch {
    sought: IndexMap<StreamKey, SoughtStream>,
}

impl OriginSearch {
    /// Starts to ask `peers` for the origin of a stream.
    pub fn start(&mut self, stream: StreamKey, peers: &[SocketAddr], now: ClockMillis) {
        let sought = SoughtStream {
            unanswered: stream_holders(stream, peers),
            next_at: now,
            deadline: now + ANSWER_TIMEOUT,
        };
        self.sought.insert(stream, sought);
    }

    /// Returns the gateways to ask now, with the streams to ask them for.
    pub fn take_questions(&mut self, now: ClockMillis) -> IndexMap<SocketAddr, Vec<StreamKey>> {
        let mut questions: IndexMap<SocketAddr, Vec<StreamKey>> = IndexMap::new();
        for (stream, sought) in &mut self.sought {
            if now < sought.next_at {
                continue;
            }
            sought.next_at = now + REPEAT_INTERVAL;
            for holder in &sought.unanswered {
                questions.entry(*holder).or_default().push(*stream);
            }
        }
        questions
    }

    /// Ends the search for a stream, whose origin is known now.
    pub fn note_found(&mut self, stream: StreamKey) {
        self.sought.swap_remove(&stream);
    }

    /// Records that a gateway does not know a stream.
    pub fn note_unknown(&mut self, stream: StreamKey, peer: SocketAddr) {
        if let Some(sought) = self.sought.get_mut(&stream) {
            sought.unanswered.retain(|unanswered| *unanswered != peer);
        }
    }

    /// Removes and returns the streams that no gateway knows, or for which there was no answer in time.
    pub fn take_given_up(&mut self, now: ClockMillis) -> Vec<StreamKey> {
        let mut given_up = Vec::new();
        self.sought.retain(|stream, sought| {
            let is_over = sought.unanswered.is_empty() || now >= sought.deadline;
            if is_over {
                given_up.push(*stream);
            }
            !is_over
        });
        given_up
    }
}
