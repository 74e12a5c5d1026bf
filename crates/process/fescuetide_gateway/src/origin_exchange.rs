//! Exchange with other gateways about where event streams began, by datagrams.
//!
//! While upstreams of several versions serve a pool, each gateway tells a few others where its streams begin, and asks them about
//! streams that callers take up and that it does not know.

use std::net::SocketAddr;

use fescuetide_flow::OriginSearch;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::stream_holders;
use fescuetide_wire::origin::ORIGIN_ENTRY_LIMIT;
use fescuetide_wire::origin::OriginDatagram;
use indexmap::IndexMap;

use crate::codec::HttpCodec;
use crate::counters::count;
use crate::traffic::TrafficLoop;

/// What is to be told and asked.
#[derive(Clone, Debug, Default)]
pub(crate) struct OriginExchange {
    untold: Vec<(StreamKey, StreamOrigin)>,
    search: OriginSearch,
}

impl<C: HttpCodec> TrafficLoop<C> {
    /// Carries out [`FlowAction::TellOrigin`](fescuetide_flow::FlowAction::TellOrigin).
    pub(crate) fn tell_origin(&mut self, stream: StreamKey, origin: StreamOrigin) {
        self.origin_exchange.untold.push((stream, origin));
    }

    /// Carries out [`FlowAction::TellVersion`](fescuetide_flow::FlowAction::TellVersion).
    pub(crate) fn tell_version(&mut self, origin: StreamOrigin) {
        let exchange = self.datagrams.as_ref();
        let peers = exchange.map_or(Vec::new(), |exchange| exchange.peers().to_vec());
        for peer in peers {
            self.send_origins(peer, &OriginDatagram::Versions(vec![origin]));
        }
    }

    /// Carries out [`FlowAction::SeekOrigin`](fescuetide_flow::FlowAction::SeekOrigin).
    pub(crate) fn seek_origin(&mut self, stream: StreamKey) {
        count(&self.counters.origins_sought);
        let exchange = self.datagrams.as_ref();
        let peers = exchange.map_or(&[][..], |exchange| exchange.peers());
        self.origin_exchange.search.start(stream, peers, self.now);
    }

    /// Sends what is to be told and asked, and gives up questions that nobody can answer.
    pub(crate) fn exchange_origins(&mut self) {
        self.send_untold();
        let questions = self.origin_exchange.search.take_questions(self.now);
        for (holder, streams) in questions {
            for streams in streams.chunks(ORIGIN_ENTRY_LIMIT) {
                self.send_origins(holder, &OriginDatagram::Sought(streams.to_vec()));
            }
        }
        for stream in self.origin_exchange.search.take_given_up(self.now) {
            count(&self.counters.origins_unknown);
            self.scheduler.give_up_origin(stream, self.now);
            self.run_actions();
        }
    }

    fn send_untold(&mut self) {
        let untold = std::mem::take(&mut self.origin_exchange.untold);
        let Some(exchange) = &self.datagrams else {
            return;
        };
        let mut told: IndexMap<SocketAddr, Vec<(StreamKey, StreamOrigin)>> = IndexMap::new();
        for entry in untold {
            for holder in stream_holders(entry.0, exchange.peers()) {
                told.entry(holder).or_default().push(entry);
            }
        }
        for (holder, entries) in told {
            for entries in entries.chunks(ORIGIN_ENTRY_LIMIT) {
                self.send_origins(holder, &OriginDatagram::Told(entries.to_vec()));
            }
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
                    self.origin_exchange.search.note_found(stream);
                    self.scheduler.note_origin(stream, origin, self.now);
                }
            }
            OriginDatagram::Sought(streams) => self.answer_sought(peer, &streams),
            OriginDatagram::Versions(origins) => {
                for origin in origins {
                    self.scheduler.note_version(origin, self.now);
                }
            }
            OriginDatagram::Unknown(streams) => {
                for stream in streams {
                    self.origin_exchange.search.note_unknown(stream, peer);
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
    }
}
