//! Tests of gateways that share their reads of the list of upstreams.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::ListingNews;
use fescuetide_fleet::ListingView;
use fescuetide_fuzz::SeededRandom;

/// Longest time between reads.
const PAUSE: SpanMillis = SpanMillis::new(1_200);

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(10);

/// Time between two messages of a gateway.
const MESSAGE_INTERVAL_MS: u64 = 100;

/// One message in so many is lost.
const MESSAGE_LOSS: u64 = 20;

/// A gateway freezes in one of so many steps.
const FREEZE_STEPS: u64 = 2_000;

/// The list changes in one of so many steps.
const CHANGE_STEPS: u64 = 1_000;

/// Length of a run.
const LENGTH: SpanMillis = SpanMillis::new(20_000);

/// A gateway and the version of the list that it has.
struct SharingGateway {
    view: ListingView,
    version: u64,
    draw: u64,
    frozen_until: ClockMillis,
}

struct SharingResult {
    reads: u64,
    /// Oldest list of a gateway that is not frozen.
    oldest: SpanMillis,
}

fn random_number(random: &mut SeededRandom) -> u64 {
    random.below(u64::MAX)
}

/// Runs gateways while the list changes at random, messages are lost, and gateways freeze.
fn run(seed: u64, count: usize) -> SharingResult {
    let mut random = SeededRandom::new(seed);
    let mut now = ClockMillis::new(1_000_000);
    let end = now + LENGTH;
    let mut gateways = Vec::new();
    for _ in 0..count {
        gateways.push(SharingGateway {
            view: ListingView::default(),
            version: 0,
            draw: random_number(&mut random),
            frozen_until: now,
        });
    }
    // When each version of the list began. A version is its own hash.
    let mut versions = vec![now];
    let mut result = SharingResult {
        reads: 0,
        oldest: SpanMillis::default(),
    };
    while now < end {
        now = now + STEP;
        if random.below(CHANGE_STEPS) == 0 {
            versions.push(now);
        }
        if random.below(FREEZE_STEPS) < count as u64 {
            let index = random.below(count as u64) as usize;
            gateways[index].frozen_until = now + SpanMillis::new(random.below(3_000));
        }
        let newest = versions.len() as u64 - 1;
        for index in 0..count {
            let gateway = &mut gateways[index];
            if now < gateway.frozen_until {
                continue;
            }
            if now >= gateway.view.due_at(PAUSE, gateway.draw) {
                gateway.version = newest;
                gateway.view.note_read(Some(newest), now);
                gateway.draw = random_number(&mut random);
                result.reads += 1;
            }
            if gateway.version < newest {
                let replaced_at = versions[gateway.version as usize + 1];
                result.oldest = result.oldest.max(now.since(replaced_at));
            }
            let phase = now.as_millis() + 10 * index as u64;
            if count < 2 || !phase.is_multiple_of(MESSAGE_INTERVAL_MS) {
                continue;
            }
            let news = gateway.view.news(now);
            let target = (index + 1 + random.below(count as u64 - 1) as usize) % count;
            let target = &mut gateways[target];
            if let Some(news) = news
                && random.below(MESSAGE_LOSS) != 0
                && now >= target.frozen_until
            {
                target.view.note_peer(news, now);
            }
        }
    }
    result
}

/// Guards against a list that is older than the longest time between reads, whatever peers tell.
#[test]
fn no_list_is_older_than_the_pause_between_reads() {
    for count in [1, 2, 4, 30, 100, 340] {
        for seed in 0..4 {
            let result = run(seed, count);
            let oldest = result.oldest;
            assert!(
                oldest <= PAUSE + STEP,
                "{count} gateways, seed {seed}: {oldest}"
            );
        }
    }
}

/// Guards against reads of the log that grow with the number of gateways.
#[test]
fn most_reads_are_left_out_in_a_large_fleet() {
    let alone = run(1, 1).reads as f64;
    for (count, most) in [(4, 1.0), (30, 0.5), (100, 0.5), (340, 0.5)] {
        let result = run(1, count);
        let part = result.reads as f64 / (alone * count as f64);
        println!("{count} gateways: {part:.2} of the reads without sharing");
        assert!(part < most, "{count} gateways make {part:.2} of the reads");
    }
}

/// Guards against a peer's read that counts for another list, or counts as newer than it is.
#[test]
fn only_newer_reads_of_the_same_list_count() {
    let at = |millis: u64| ClockMillis::new(1_000_000 + millis);
    let news = |hash, age| ListingNews {
        hash,
        age: SpanMillis::new(age),
    };
    let mut view = ListingView::default();
    assert!(!view.note_peer(news(7, 0), at(0)));
    view.note_read(Some(7), at(0));
    assert!(!view.note_peer(news(8, 0), at(500)));
    assert!(!view.note_peer(news(7, 600), at(500)));
    assert!(view.note_peer(news(7, 200), at(500)));
    assert_eq!(view.news(at(500)), Some(news(7, 200)));
    let latest = view.due_at(PAUSE, u64::MAX);
    assert_eq!(latest, at(300) + PAUSE);
    // After a failed read, nothing is told, and no peer counts.
    view.note_read(None, at(600));
    assert_eq!(view.news(at(700)), None);
    assert!(!view.note_peer(news(7, 0), at(700)));
}
