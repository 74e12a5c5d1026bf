//! Exchange with other gateways about where event streams began, by datagrams.
//!
//! While upstreams of several versions serve a pool, each gateway tells a few others where its streams begin. These are chosen by
//! the key of the stream, so that a gateway at which a caller takes the stream up knows whom to ask, also when the first
//! gateway is gone.

use std::cmp::Reverse;
use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_base::StableHash;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_routing::score_upstream;
use fescuetide_wire::origin::ORIGIN_ENTRY_LIMIT;
use fescuetide_wire::origin::OriginDatagram;
use indexmap::IndexMap;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::log_line_limit::LogLineKind;
use crate::traffic::TrafficLoop;

/// Number of other gateways that are told where a stream began, and that are asked. Some of them may be gone, or not know
/// each other yet.
const HOLDER_COUNT: usize = 5;

/// Time after which gateways that have not answered are asked again, since datagrams may be lost.
const REPEAT_INTERVAL: SpanMillis = SpanMillis::new(60);

/// Time after which a question is given up. A caller waits for it.
const ANSWER_TIMEOUT: SpanMillis = SpanMillis::new(300);

/// A stream whose origin other gateways are asked for.
#[derive(Clone, Debug)]
struct SoughtStream {
    /// The gateways that have not answered.
    unanswered: Vec<SocketAddr>,
    next_at: ClockMillis,
    deadline: ClockMillis,
}

/// What is to be told and asked.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginExchange {
    untold: Vec<(StreamKey, StreamOrigin)>,
    sought: IndexMap<StreamKey, SoughtStream>,
}

/// The gateways among `peers` that know where a stream began, if any does: those that rank highest for it.
fn holders_of(stream: StreamKey, peers: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut holders = peers.to_vec();
    let score = |peer: &SocketAddr| {
        let id = StableHash::hash_bytes(peer.to_string().as_bytes());
        Reverse(score_upstream(stream.get(), id))
    };
    holders.sort_by_cached_key(score);
    holders.truncate(HOLDER_COUNT);
    holders
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Carries out [`FlowAction::TellOrigin`](fescuetide_flow::FlowAction::TellOrigin).
    pub(crate) fn tell_origin(&mut self, stream: StreamKey, origin: StreamOrigin) {
        self.origin_exchange.untold.push((stream, origin));
    }

    /// Carries out [`FlowAction::SeekOrigin`](fescuetide_flow::FlowAction::SeekOrigin).
    pub(crate) fn seek_origin(&mut self, stream: StreamKey) {
        count(&self.counters.origins_sought);
        let unanswered = holders_of(stream, self.datagram_peers());
        let sought = SoughtStream {
            unanswered,
            next_at: self.now,
            deadline: self.now + ANSWER_TIMEOUT,
        };
        self.origin_exchange.sought.insert(stream, sought);
    }

    fn datagram_peers(&self) -> &[SocketAddr] {
        let exchange = self.load_exchange.as_ref();
        exchange.map_or(&[], |exchange| exchange.peers())
    }

    /// Sends what is to be told and asked, and gives up questions that nobody can answer.
    pub(crate) fn exchange_origins(&mut self) {
        self.send_untold();
        self.send_sought();
        self.give_up_sought();
    }

    fn send_untold(&mut self) {
        let untold = std::mem::take(&mut self.origin_exchange.untold);
        let mut told: IndexMap<SocketAddr, Vec<(StreamKey, StreamOrigin)>> = IndexMap::new();
        for entry in untold {
            for holder in holders_of(entry.0, self.datagram_peers()) {
                told.entry(holder).or_default().push(entry);
            }
        }
        for (holder, entries) in told {
            for entries in entries.chunks(ORIGIN_ENTRY_LIMIT) {
                self.send_origins(holder, &OriginDatagram::Told(entries.to_vec()));
            }
        }
    }

    fn send_sought(&mut self) {
        let now = self.now;
        let mut asked: IndexMap<SocketAddr, Vec<StreamKey>> = IndexMap::new();
        for (stream, sought) in &mut self.origin_exchange.sought {
            if now < sought.next_at {
                continue;
            }
            sought.next_at = now + REPEAT_INTERVAL;
            for holder in &sought.unanswered {
                asked.entry(*holder).or_default().push(*stream);
            }
        }
        for (holder, streams) in asked {
            for streams in streams.chunks(ORIGIN_ENTRY_LIMIT) {
                self.send_origins(holder, &OriginDatagram::Sought(streams.to_vec()));
            }
        }
    }

    fn give_up_sought(&mut self) {
        let now = self.now;
        let mut given_up = Vec::new();
        self.origin_exchange.sought.retain(|stream, sought| {
            let is_over = sought.unanswered.is_empty() || now >= sought.deadline;
            if is_over {
                given_up.push(*stream);
            }
            !is_over
        });
        for stream in given_up {
            count(&self.counters.origins_unknown);
            self.scheduler.give_up_origin(stream, now);
            self.run_actions();
        }
    }

    fn send_origins(&mut self, peer: SocketAddr, datagram: &OriginDatagram) {
        let bytes: Vec<u8> = datagram.into();
        if self.send_datagram(peer, &bytes) {
            count(&self.counters.origin_datagrams_sent);
        }
    }

    /// Uses a datagram of another gateway.
    pub(crate) fn use_origins(&mut self, peer: SocketAddr, datagram: &[u8]) -> anyhow::Result<()> {
        let datagram = OriginDatagram::try_from(datagram)?;
        count(&self.counters.origin_datagrams_received);
        match datagram {
            OriginDatagram::Told(entries) => {
                for (stream, origin) in entries {
                    self.origin_exchange.sought.swap_remove(&stream);
                    self.scheduler.note_origin(stream, origin, self.now);
                }
            }
            OriginDatagram::Sought(streams) => self.answer_sought(peer, &streams),
            OriginDatagram::Unknown(streams) => {
                for stream in streams {
                    if let Some(sought) = self.origin_exchange.sought.get_mut(&stream) {
                        sought.unanswered.retain(|unanswered| *unanswered != peer);
                    }
                }
            }
        }
        self.run_actions();
        Ok(())
    }

    fn answer_sought(&mut self, peer: SocketAddr, streams: &[StreamKey]) {
        let mut told = Vec::new();
        let mut unknown = Vec::new();
        for stream in streams {
            match self.scheduler.origin(*stream, self.now) {
                Some(origin) => told.push((*stream, origin)),
                None => unknown.push(*stream),
            }
        }
        if !told.is_empty() {
            self.send_origins(peer, &OriginDatagram::Told(told));
        }
        if !unknown.is_empty() {
            self.send_origins(peer, &OriginDatagram::Unknown(unknown));
        }
        if self.may_log(LogLineKind::Notice) {
            tracing::debug!(%peer, streams = streams.len(), "asked where streams began");
        }
    }
}
