//! Benchmarks of admission decisions.

use std::hint::black_box;
use std::time::Duration;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use fescuetide_base::AttemptId;
use fescuetide_base::ClockMillis;
use fescuetide_base::LoadCount;
use fescuetide_base::SpanMillis;
use fescuetide_base::TargetShare;
use fescuetide_limits::prelude::*;

/// Batch size of an engine.
const SLOTS: usize = 16;

/// Candidate selection in a pool whose upstreams all refuse based on their own caps.
fn select(criterion: &mut Criterion) {
    for size in [12_usize, 100, 1_000, 6_300] {
        criterion.bench_with_input(BenchmarkId::new("walk", size), &size, |bench, size| {
            bench.iter(|| {
                let mut selector = CandidateSelector::new(LoadBound::default(), *size);
                loop {
                    match selector.next_candidate() {
                        Some((index, AdmitRule::OwnCap)) => {
                            selector.note_over_bound(index, LoadCount::new(8 + index as u32 % 5));
                        }
                        other => return black_box(other),
                    }
                }
            });
        });
    }
}

fn work(number: u64) -> QueuedWork {
    QueuedWork {
        attempt: AttemptId::from_u128(number.into()),
        workspace: format!("workspace-{}", number % 10).parse().expect("name"),
        late_at: ClockMillis::new(1_000_000 + number * 7_919 % 60_000),
        deadline: ClockMillis::new(2_000_000),
        loss_share: TargetShare::default(),
    }
}

/// Enqueues a request at an engine with a full batch and a given number of queued requests.
fn push(criterion: &mut Criterion) {
    let now = ClockMillis::new(1_000);
    for waiting in [0_u64, 16, 64, 256] {
        let mut queue = AdmissionQueue::new(SLOTS);
        // The queue estimates the delay only once a service time is known.
        let _ = queue.push(work(0), ClockMillis::new(0));
        queue.finish(AttemptId::from_u128(0), Some(SpanMillis::new(50)), now);
        for number in 1..=SLOTS as u64 + waiting {
            let _ = queue.push(work(number), now);
        }
        criterion.bench_with_input(BenchmarkId::new("push", waiting), &queue, |bench, queue| {
            bench.iter_batched(
                || (queue.clone(), work(9_999)),
                |(mut queue, work)| black_box(queue.push(work, now)),
                BatchSize::SmallInput,
            );
        });
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .configure_from_args();
    select(&mut criterion);
    push(&mut criterion);
    criterion.final_summary();
}
