//! Tests of the upstreams that a starting gateway uses.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_fleet::SoftwareVersion;
use fescuetide_fleet::StartFilter;
use fescuetide_fleet::UpstreamEntry;
use fescuetide_fleet::UpstreamState;

const START: ClockMillis = ClockMillis::new(1_000_000);

fn at(millis: u64) -> ClockMillis {
    ClockMillis::new(START.as_millis() + millis)
}

fn entry(name: &str, pool: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        name: name.parse().unwrap(),
        incarnation: ProcessIncarnation::new(1),
        pool: pool.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: SoftwareVersion::default(),
        slots: 8,
        state,
    }
}

fn ready(name: &str) -> UpstreamEntry {
    entry(name, "engines", UpstreamState::Ready)
}

fn names(entries: &[UpstreamEntry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.name.as_str()).collect()
}

/// Guards against an upstream that has left, or drains, and is used because the log has come back from an older copy.
#[test]
fn upstreams_that_a_peer_does_not_have_are_held_back_for_some_time() {
    let listing = [ready("a"), ready("left"), ready("drains")];
    let draining = entry("drains", "engines", UpstreamState::Leaving);
    let peer = [ready("a"), draining];
    let mut filter = StartFilter::new(START);
    filter.note_peer(&peer, at(5));
    assert_eq!(names(&filter.note_listing(&listing, at(10))), ["a"]);
    assert_eq!(filter.held_count(), 2);
    assert_eq!(filter.finish(at(4_900)), None);
    let all = filter.finish(at(5_000)).unwrap();
    assert_eq!(names(&all), ["a", "left", "drains"]);
    assert_eq!(filter.finish(at(5_100)), None);
}

/// Guards against a peer's answer that counts only if it comes before the listing.
#[test]
fn answer_of_a_peer_counts_after_the_listing_as_well() {
    let mut filter = StartFilter::new(START);
    let listing = [ready("a"), ready("left")];
    assert_eq!(names(&filter.note_listing(&listing, at(10))), ["a", "left"]);
    let peer = [ready("a")];
    let selected = filter.note_peer(&peer, at(300)).unwrap();
    assert_eq!(names(&selected), ["a"]);
}

/// Guards against upstreams that register after the start and wait, and against a pool without upstreams.
#[test]
fn new_upstreams_and_the_last_ones_of_a_pool_are_used() {
    let mut filter = StartFilter::new(START);
    let other = entry("only", "other", UpstreamState::Ready);
    filter.note_peer(&[ready("a")], at(5));
    let first = [ready("a"), ready("left"), other.clone()];
    assert_eq!(names(&filter.note_listing(&first, at(10))), ["a", "only"]);
    let second = [ready("a"), ready("left"), other, ready("new")];
    let selected = filter.note_listing(&second, at(700));
    assert_eq!(names(&selected), ["a", "only", "new"]);
    let late = filter.note_listing(&second, at(6_000));
    assert_eq!(late.len(), 4);
}

/// Guards against an older listing that replaces the first one after the period, so that an upstream that leaves counts as ready
/// again.
#[test]
fn listing_after_the_period_is_not_replaced_by_an_older_one() {
    let mut filter = StartFilter::new(START);
    filter.note_peer(&[ready("a"), ready("b")], at(5));
    let before = [ready("a"), ready("b"), ready("left")];
    filter.note_listing(&before, at(10));
    assert_eq!(filter.held_count(), 1);
    let leaving = entry("b", "engines", UpstreamState::Leaving);
    let after = [ready("a"), leaving, ready("left")];
    assert_eq!(filter.note_listing(&after, at(5_050)), after);
    assert_eq!(filter.finish(at(5_100)), None);
}
