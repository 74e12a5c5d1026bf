//! What a gateway tells others, and the log, about the origins of streams.

use std::net::SocketAddr;

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::VersionKey;
use fescuetide_flow::FlowAction;
use fescuetide_flow::FlowKey;
use fescuetide_flow::FlowSettings;
use fescuetide_flow::GatewayList;
use fescuetide_flow::OriginCommand;
use fescuetide_flow::OriginEntry;
use fescuetide_flow::OriginExchange;
use fescuetide_flow::OriginLogEvent;
use fescuetide_flow::OriginMessage;
use fescuetide_flow::OriginOutput;
use fescuetide_flow::PoolKey;
use fescuetide_flow::RefusalCause;
use fescuetide_flow::RequestScheduler;
use fescuetide_flow::StreamKey;
use fescuetide_flow::StreamOrigin;
use fescuetide_flow::VersionReading;

use crate::harness::SchedulerHarness;
use crate::origins::HISTORY;
use crate::origins::LISTING_LIMIT;
use crate::origins::STREAM;
use crate::origins::origin;
use crate::origins::versioned;

/// Time in which a writer has to confirm what it was told.
const CONFIRMATION_TIMEOUT: SpanMillis = SpanMillis::new(200);

const ENTRY: OriginEntry = OriginEntry {
    stream: StreamKey::new(7),
    origin: StreamOrigin {
        pool: PoolKey::new(1),
        version: VersionKey::new(2),
    },
    moves: 0,
};

/// A gateway that knows so many others.
struct ExchangeHarness {
    exchange: OriginExchange,
    scheduler: RequestScheduler,
    now: ClockMillis,
}

impl ExchangeHarness {
    fn with_peers(count: u16) -> Self {
        let address = |index| SocketAddr::from(([127, 0, 0, 1], 10_000 + index));
        let peers: Vec<SocketAddr> = (1..=count).map(address).collect();
        let mut exchange = OriginExchange::default();
        exchange.set_gateways(GatewayList::new(address(0), &peers));
        let settings = FlowSettings::default();
        Self {
            exchange,
            scheduler: RequestScheduler::new(settings, "a".parse().unwrap()),
            now: ClockMillis::new(1_000_000),
        }
    }

    /// Returns the gateway that is told to write, if any, and whether this gateway writes itself.
    fn step(&mut self, millis: u64) -> (Option<SocketAddr>, bool) {
        self.now = self.now + SpanMillis::new(millis);
        self.exchange.step(&mut self.scheduler, false, self.now);
        let mut writer = None;
        let mut appends = false;
        for output in self.exchange.take_outputs() {
            match output {
                OriginOutput::Send(peer, OriginMessage::ToWrite(entries)) => {
                    assert_eq!(entries, [ENTRY]);
                    writer = Some(peer);
                }
                OriginOutput::Call(OriginCommand::AppendOrigins(entries)) => {
                    assert_eq!(entries, [ENTRY]);
                    appends = true;
                }
                _ => {}
            }
        }
        (writer, appends)
    }
}

/// A stream and a gateway of which another one is the writer.
fn harness_with_writer() -> (ExchangeHarness, SocketAddr) {
    // With many peers, the first in the order is hardly this gateway.
    let mut harness = ExchangeHarness::with_peers(20);
    harness.exchange.tell_origin(ENTRY);
    let (writer, appends) = harness.step(0);
    assert!(!appends);
    (harness, writer.expect("another gateway writes"))
}

/// Guards against origins that are not written since their writer is gone, and against another writer for each lost datagram.
#[test]
fn writer_that_does_not_confirm_is_replaced() {
    let (mut harness, first) = harness_with_writer();
    let timeout = CONFIRMATION_TIMEOUT.as_millis();
    assert_eq!(harness.step(timeout - 20), (None, false));
    assert_eq!(harness.step(20), (Some(first), false));
    let (second, appends) = harness.step(timeout);
    assert!(second.is_some_and(|second| second != first) && !appends);
    // Once all are gone, the gateway writes itself.
    let mut has_appended = false;
    for _ in 0..20 {
        has_appended |= harness.step(timeout).1;
    }
    assert!(has_appended);
}

/// Guards against origins that are written again and again.
#[test]
fn confirmed_origin_is_not_told_again() {
    let (mut harness, writer) = harness_with_writer();
    let written = OriginMessage::Written(vec![ENTRY.stream]);
    let ExchangeHarness {
        exchange,
        scheduler,
        now,
    } = &mut harness;
    exchange.receive(writer, written, scheduler, *now);
    assert!(!exchange.is_busy());
    assert_eq!(harness.step(1_000), (None, false));
}

/// Guards against origins that are lost with a failed append, and against a confirmation of what the log does not have.
#[test]
fn failed_append_is_repeated_and_not_confirmed() {
    let mut harness = ExchangeHarness::with_peers(1);
    let asker = SocketAddr::from(([127, 0, 0, 1], 10_001));
    let ExchangeHarness {
        exchange,
        scheduler,
        now,
    } = &mut harness;
    exchange.receive(asker, OriginMessage::ToWrite(vec![ENTRY]), scheduler, *now);
    assert_eq!(harness.step(100), (None, true));
    for is_written in [false, true] {
        let event = OriginLogEvent::Appended(is_written);
        let scheduler = &mut harness.scheduler;
        harness.exchange.note_log(event, scheduler, harness.now);
        let confirmation = OriginMessage::Written(vec![ENTRY.stream]);
        let confirms = harness.exchange.take_outputs() == [OriginOutput::Send(asker, confirmation)];
        assert_eq!(confirms, is_written);
        assert_eq!(harness.step(300), (None, !is_written));
    }
}

/// A gateway without peers that has requested the removal of the record of v2, which it has not listed for a minute.
fn harness_with_obsolete_record() -> ExchangeHarness {
    let mut harness = ExchangeHarness::with_peers(0);
    let reading = VersionReading {
        versions: vec![origin("v1"), origin("v2")],
        ..VersionReading::default()
    };
    harness
        .scheduler
        .set_upstreams(&[versioned("v1", 0)], harness.now);
    harness
        .scheduler
        .note_version_reading(&reading, harness.now);
    harness.now = harness.now + HISTORY;
    harness.scheduler.note_listing_time(harness.now);
    harness.scheduler.tick(harness.now);
    let action = harness.scheduler.next_action();
    assert_eq!(action, Some(FlowAction::ForgetVersion(origin("v2"))));
    harness.exchange.forget_version(origin("v2"), harness.now);
    harness
}

impl ExchangeHarness {
    /// Whether the log is called to remove the record of v2.
    fn removes(&mut self, is_log_unavailable: bool) -> bool {
        self.exchange
            .step(&mut self.scheduler, is_log_unavailable, self.now);
        let call = OriginOutput::Call(OriginCommand::ForgetVersion(origin("v2")));
        self.exchange.take_outputs().contains(&call)
    }
}

/// Guards against calls that pile up while the log does not answer, and against a failed removal that is not repeated.
#[test]
fn record_is_removed_with_one_call_at_a_time() {
    let mut harness = harness_with_obsolete_record();
    assert!(harness.removes(false));
    for is_removed in [false, true] {
        harness.exchange.forget_version(origin("v2"), harness.now);
        assert!(!harness.removes(false));
        let event = OriginLogEvent::VersionForgotten {
            origin: origin("v2"),
            is_removed,
        };
        let scheduler = &mut harness.scheduler;
        harness.exchange.note_log(event, scheduler, harness.now);
        harness.exchange.forget_version(origin("v2"), harness.now);
        assert_eq!(harness.removes(false), !is_removed);
    }
}

/// Guards against calls to a log that is away, and against the removal of a record whose version serves again, or may do so as far as an
/// old list of upstreams tells.
#[test]
fn record_is_not_removed_unless_the_version_is_known_to_have_left() {
    assert!(!harness_with_obsolete_record().removes(true));
    let mut harness = harness_with_obsolete_record();
    let entries = [versioned("v1", 0), versioned("v2", 0)];
    harness.scheduler.set_upstreams(&entries, harness.now);
    assert!(!harness.removes(false));
    let mut harness = harness_with_obsolete_record();
    harness.now = harness.now + SpanMillis::new(LISTING_LIMIT.as_millis() + 1);
    assert!(!harness.removes(false));
}

/// A stream that is taken up at a gateway that hears from no other one, knows one version, and has a list of upstreams that is too old.
fn harness_with_sought_stream() -> (SchedulerHarness, OriginExchange, FlowKey) {
    let mut harness = SchedulerHarness::with_versions(2, 0);
    harness.scheduler.note_listing_time(harness.now);
    harness.advance(LISTING_LIMIT.as_millis() + 100);
    let key = harness.arrive_for_stream(true);
    assert_eq!(harness.next(), Some(FlowAction::SeekOrigin(STREAM)));
    let mut exchange = OriginExchange::default();
    exchange.seek_origin(STREAM, harness.now);
    (harness, exchange, key)
}

/// Guards against a stream that is joined from two versions: a gateway that the log turns away does not know the version that began
/// it at another gateway, which it does not know either.
#[test]
fn stream_is_refused_if_neither_the_log_nor_a_gateway_answers() {
    for is_log_unavailable in [true, false] {
        let (mut harness, mut exchange, key) = harness_with_sought_stream();
        for _ in 0..50 {
            exchange.step(&mut harness.scheduler, is_log_unavailable, harness.now);
            harness.advance(10);
        }
        let refusal = harness.expect_refusal(key);
        assert_eq!(refusal.cause, RefusalCause::UnknownStream);
    }
}

/// Guards against a stream that a gateway alone refuses although the log shows that there is one version only.
#[test]
fn stream_goes_on_without_other_gateways_if_the_log_is_read() {
    let (mut harness, mut exchange, key) = harness_with_sought_stream();
    exchange.step(&mut harness.scheduler, false, harness.now);
    let call = OriginOutput::Call(OriginCommand::Read);
    assert_eq!(exchange.take_outputs(), [call]);
    let event = OriginLogEvent::Read {
        versions: VersionReading {
            versions: vec![origin("v1")],
            ..VersionReading::default()
        },
        origins: Vec::new(),
    };
    exchange.note_log(event, &mut harness.scheduler, harness.now);
    harness.expect_send(key);
}
