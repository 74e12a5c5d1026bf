//! Tests of gateways of which one watches the log for configurations.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_fleet::ConfigNews;
use fescuetide_fleet::ConfigVerdict;
use fescuetide_fleet::ConfigVersion;
use fescuetide_fleet::ConfigView;
use fescuetide_fuzz::SeededRandom;

/// Longest time between reads.
const PAUSE: SpanMillis = SpanMillis::new(1_500);

/// Time between two answers of the log to the watcher, if there is nothing new.
const WATCH_TIME: SpanMillis = SpanMillis::new(750);

/// Simulated time per step.
const STEP: SpanMillis = SpanMillis::new(10);

/// Time between two messages of a gateway.
const MESSAGE_INTERVAL_MS: u64 = 100;

/// One message in so many is lost.
const MESSAGE_LOSS: u64 = 20;

/// The configuration changes in one of so many steps.
const CHANGE_STEPS: u64 = 300;

/// Length of a run.
const LENGTH: SpanMillis = SpanMillis::new(30_000);

struct WatchingGateway {
    view: ConfigView,
    version: u64,
    draw: u64,
    wants_refresh: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct WatchResult {
    reads: u64,
    /// Longest time for which a gateway had an older configuration than the log.
    oldest: SpanMillis,
}

fn version(number: u64) -> ConfigVersion {
    ConfigVersion::new(number)
}

/// Runs gateways while the configuration changes at random and messages are lost. The watcher is frozen from `frozen_from` on.
fn run(seed: u64, count: usize, frozen_from: SpanMillis) -> WatchResult {
    let mut random = SeededRandom::new(seed);
    let started_at = ClockMillis::new(1_000_000);
    let mut now = started_at;
    let mut gateways = Vec::new();
    for index in 0..count {
        let mut view = ConfigView::default();
        view.set_watcher(index == 0);
        view.note_read(Some(version(0)), now);
        gateways.push(WatchingGateway {
            view,
            version: 0,
            draw: random.below(u64::MAX),
            wants_refresh: false,
        });
    }
    let mut changes = vec![now];
    let mut watched_at = now;
    let mut result = WatchResult::default();
    while now < started_at + LENGTH {
        now = now + STEP;
        if random.below(CHANGE_STEPS) == 0 {
            changes.push(now);
        }
        let newest = changes.len() as u64 - 1;
        let is_frozen = now.since(started_at) >= frozen_from;
        let mut told = Vec::new();
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if index == 0 && is_frozen {
                continue;
            }
            let has_answer = gateway.version < newest || now.since(watched_at) >= WATCH_TIME;
            let is_due = now >= gateway.view.due_at(PAUSE, gateway.draw) || gateway.wants_refresh;
            let reads = match gateway.view.watches() {
                true => has_answer,
                false => is_due,
            };
            if reads {
                if index == 0 {
                    watched_at = now;
                    told.extend((gateway.version < newest).then_some(newest));
                }
                gateway.version = newest;
                gateway.wants_refresh = false;
                gateway.view.note_read(Some(version(newest)), now);
                gateway.draw = random.below(u64::MAX);
                result.reads += 1;
            }
            if gateway.version < newest {
                let replaced_at = changes[gateway.version as usize + 1];
                result.oldest = result.oldest.max(now.since(replaced_at));
            }
        }
        for newest in told {
            let news = ConfigNews {
                version: version(newest),
                age: SpanMillis::default(),
            };
            for gateway in &mut gateways[1..] {
                tell(gateway, news, now, &mut random);
            }
        }
        for index in 0..count {
            let phase = now.as_millis() + 10 * index as u64;
            let is_silent = index == 0 && is_frozen;
            if count < 2 || is_silent || !phase.is_multiple_of(MESSAGE_INTERVAL_MS) {
                continue;
            }
            let target = (index + 1 + random.below(count as u64 - 1) as usize) % count;
            if let Some(news) = gateways[index].view.news(now) {
                tell(&mut gateways[target], news, now, &mut random);
            }
        }
    }
    result
}

fn tell(
    gateway: &mut WatchingGateway,
    news: ConfigNews,
    now: ClockMillis,
    random: &mut SeededRandom,
) {
    if random.below(MESSAGE_LOSS) != 0 {
        let verdict = gateway.view.note_peer(news, now);
        gateway.wants_refresh |= verdict == ConfigVerdict::Newer;
    }
}

/// Guards against a configuration that is in force later than if each gateway read the log by itself, also if the watcher is gone.
#[test]
fn no_configuration_is_older_than_the_pause_between_reads() {
    for count in [1, 2, 4, 30, 103, 340] {
        for frozen_from in [LENGTH, SpanMillis::new(10_000)] {
            for seed in 0..4 {
                let WatchResult { oldest, .. } = run(seed, count, frozen_from);
                assert!(
                    oldest <= PAUSE + STEP,
                    "{count} gateways, seed {seed}, frozen from {frozen_from}: {oldest}"
                );
            }
        }
    }
}

/// Guards against reads that grow with the number of gateways.
#[test]
fn most_gateways_leave_the_reads_to_the_watcher() {
    let each = LENGTH.as_millis() as f64 / PAUSE.as_millis() as f64;
    for (count, most) in [(4, 1.0), (30, 0.5), (103, 0.5), (340, 0.5)] {
        let result = run(1, count, LENGTH);
        // Each gateway reads each new configuration once.
        let changes = LENGTH.as_millis() / STEP.as_millis() / CHANGE_STEPS;
        let others = result.reads as f64 - (changes * count as u64) as f64;
        let part = others / (each * count as f64);
        assert!(part < most, "{count} gateways: {part:.2} of the reads");
    }
}

/// Guards against news that count for another version, are older than what is known, or make a gateway read again and again.
#[test]
fn only_newer_reads_of_the_same_version_confirm_it() {
    let now = ClockMillis::new(10_000);
    let news = |number, age| ConfigNews {
        version: version(number),
        age: SpanMillis::new(age),
    };
    let mut view = ConfigView::default();
    assert!(view.watches());
    assert_eq!(view.note_peer(news(4, 0), now), ConfigVerdict::Known);
    view.set_watcher(false);
    view.note_read(Some(version(4)), now);
    let later = now + SpanMillis::new(500);
    assert_eq!(view.note_peer(news(3, 0), later), ConfigVerdict::Known);
    assert_eq!(view.note_peer(news(4, 600), later), ConfigVerdict::Known);
    assert_eq!(
        view.note_peer(news(4, 100), later),
        ConfigVerdict::Confirmed
    );
    assert_eq!(view.news(later), Some(news(4, 100)));
    assert_eq!(view.note_peer(news(5, 0), later), ConfigVerdict::Newer);
    assert_eq!(view.note_peer(news(5, 0), later), ConfigVerdict::Known);
    assert_eq!(view.news(later), Some(news(4, 100)));
}

/// Guards against a gateway that reads the log only once for a newer version, at a moment at which the log turns it away, and against one
/// that reads it without end for a version that the log does not have.
#[test]
fn log_is_read_for_a_newer_version_until_it_answers() {
    let now = ClockMillis::new(10_000);
    let news = |number| ConfigNews {
        version: version(number),
        age: SpanMillis::default(),
    };
    let mut view = ConfigView::default();
    view.set_watcher(false);
    view.note_read(Some(version(4)), now);
    let later = now + SpanMillis::new(10);
    assert!(view.due_at(PAUSE, 0) > later);
    assert_eq!(view.note_peer(news(u64::MAX), later), ConfigVerdict::Newer);
    assert_eq!(view.note_peer(news(4), later), ConfigVerdict::Known);
    assert!(view.due_at(PAUSE, 0) <= later);
    view.note_read(Some(version(4)), later);
    assert!(view.due_at(PAUSE, 0) > later);
    assert_eq!(view.note_peer(news(u64::MAX), later), ConfigVerdict::Known);
}
