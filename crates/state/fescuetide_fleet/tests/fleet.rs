//! Tests of routes, upstreams and outage detection.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::OutageDetector;
use fescuetide_fleet::RouteEntry;
use fescuetide_fleet::RouteTable;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::UpstreamChange;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;
use fescuetide_fleet::UpstreamTable;
use fescuetide_fleet::WorkKind;

fn route(prefix: &str) -> RouteEntry {
    RouteEntry {
        name: prefix.to_owned(),
        prefix: prefix.to_owned(),
        kind: WorkKind::Repeatable,
        time_limit: SpanMillis::new(1_000),
        late_after: SpanMillis::new(100),
        pause_limit: None,
        priority: 0,
        attempt_limit: 1,
        is_public: false,
        has_common_prefixes: false,
        pools: Vec::new(),
    }
}

fn upstream(name: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        incarnation: ProcessIncarnation::new(1),
        pool: "engines".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::default(),
        slots: 4,
        state,
    }
}

/// Guards against a shorter prefix that shadows a longer one, and a prefix that matches part of a path segment.
#[test]
fn longest_prefix_of_the_host_wins() {
    let mut table = RouteTable::default();
    for prefix in ["/a/", "/a/b/", "/"] {
        table.add_route("One.example", route(prefix));
    }
    let find = |host: &str, path: &str| table.find(host, path).map(|route| route.prefix.clone());
    assert_eq!(find("one.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(find("ONE.example:8080", "/a/bc").as_deref(), Some("/a/"));
    assert_eq!(find("one.example", "/ab").as_deref(), Some("/"));
    assert_eq!(find("two.example", "/a/"), None);
}

/// Guards against a pool that becomes empty because its entries expired during an outage of the log.
#[test]
fn expired_entries_are_kept_for_a_grace_period() {
    let mut table = UpstreamTable::default();
    let start = ClockMillis::new(0);
    for name in ["one", "two"] {
        let change = UpstreamChange::Written(upstream(name, UpstreamState::Ready));
        table.apply(change, false, start);
    }
    let leaving = UpstreamChange::Written(upstream("three", UpstreamState::Leaving));
    table.apply(leaving, false, start);
    for name in ["one", "two", "three"] {
        table.apply(UpstreamChange::Removed(name.parse().unwrap()), true, start);
    }
    assert_eq!(table.iter().count(), 2);
    let back = UpstreamChange::Written(upstream("one", UpstreamState::Ready));
    table.apply(back, true, start + SpanMillis::new(1_000));
    assert!(table.expire(start + SpanMillis::new(1_999)));
    let names: Vec<&str> = table.iter().map(|entry| entry.name.as_str()).collect();
    assert_eq!(names, ["one"]);
}

/// Guards against new work for an upstream that left while the platform was available.
#[test]
fn removed_entry_is_gone_at_once() {
    let mut table = UpstreamTable::default();
    let now = ClockMillis::new(0);
    let written = UpstreamChange::Written(upstream("one", UpstreamState::Ready));
    table.apply(written, false, now);
    table.apply(UpstreamChange::Removed("one".parse().unwrap()), false, now);
    assert_eq!(table.iter().count(), 0);
}

/// Guards against new work for an upstream that left soon after an outage: only entries missing from the first response
/// may have expired.
#[test]
fn only_the_first_response_after_an_outage_reports_expired_entries() {
    let at = ClockMillis::new;
    let mut detector = OutageDetector::new(at(0));
    assert!(detector.note_failure());
    assert!(!detector.note_failure());
    assert!(detector.is_unavailable());
    let end = detector.note_success(at(4_000)).unwrap();
    assert_eq!(
        (end.duration.as_millis(), end.may_have_expired),
        (4_000, true)
    );
    assert_eq!(detector.note_success(at(4_600)), None);
    detector.note_failure();
    let end = detector.note_success(at(5_000)).unwrap();
    assert!(!end.may_have_expired);
}

/// Guards against missing changes for seconds after an outage because the pending long poll was lost.
#[test]
fn reads_do_not_wait_while_the_log_is_unavailable() {
    let normal_wait = SpanMillis::new(2_000);
    let mut detector = OutageDetector::new(ClockMillis::new(0));
    assert_eq!(detector.read_wait(normal_wait), normal_wait);
    detector.note_failure();
    assert_eq!(detector.read_wait(normal_wait), SpanMillis::default());
    detector.note_success(ClockMillis::new(100));
    assert_eq!(detector.read_wait(normal_wait), normal_wait);
}

/// Guards against a pool that becomes empty because the log is listed twice soon after an outage in which entries
/// expired: the second listing removed entries that were still within their grace period.
#[test]
fn second_listing_after_an_outage_keeps_expired_entries() {
    let mut table = UpstreamTable::default();
    let now = ClockMillis::new(10_000);
    table.replace(vec![upstream("vm-1", UpstreamState::Ready)], false, now);
    table.replace(Vec::new(), true, now);
    table.replace(Vec::new(), false, now + SpanMillis::new(100));
    assert_eq!(table.iter().count(), 1);
    table.expire(now + SpanMillis::new(2_000));
    assert_eq!(table.iter().count(), 0);
}

/// Guards against dropping live upstreams that could not rewrite their entries because a second outage followed the
/// first.
#[test]
fn second_outage_extends_the_grace_period() {
    let mut table = UpstreamTable::default();
    let now = ClockMillis::new(10_000);
    table.replace(vec![upstream("vm-1", UpstreamState::Ready)], false, now);
    table.replace(Vec::new(), true, now);
    let back = now + SpanMillis::new(3_000);
    table.note_recovery(back);
    table.expire(back);
    assert_eq!(table.iter().count(), 1);
    table.expire(back + SpanMillis::new(2_000));
    assert_eq!(table.iter().count(), 0);
}
