//! Benchmarks table lookups, route changes and queue operations at several sizes. Run by `cargo
//! bench`.

use std::hint;
use std::time;

use zinnia_lab::capacity;
use zinniastack::clock;
use zinniastack::configuration;
use zinniastack::limit;
use zinniastack::queue;

/// Numbers of queued requests.
const QUEUE_LENGTHS: [u32; 4] = [10, 100, 1_000, 4_000];

fn bench_tables(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("table");
    for shards in capacity::TABLE_SIZES {
        let Some(mut table) = capacity::filled_table(shards) else {
            continue;
        };
        group.bench_function(format!("lookup-{shards}"), |bench| {
            bench.iter(|| {
                hint::black_box(table.lookup("stock", hint::black_box("yard-7"))).is_some()
            });
        });
        group.bench_function(format!("change-{shards}"), |bench| {
            let mut sequence = 0;
            bench.iter(|| {
                sequence += 1;
                let index = u32::try_from(sequence % u64::from(shards)).unwrap_or(0);
                if let Some(change) = capacity::change(index, sequence) {
                    table.set_routes([&change]);
                }
                hint::black_box(table.clone());
            });
        });
    }
    group.finish();
}

fn bench_queues(criterion: &mut criterion::Criterion) {
    let mut group = criterion.benchmark_group("queue");
    let now = clock::MonoTime::from_millis(1);
    let deadline = clock::MonoTime::from_millis(600_000);
    for length in QUEUE_LENGTHS {
        let Ok(rank) = configuration::WorkRank::new(2) else {
            continue;
        };
        let waiting = |ticket| queue::WaitingRequest {
            ticket,
            rank,
            arrived: now,
            deadline,
        };
        let mut queue = queue::ServerQueue::new(1, 1).with_floors([0, 20, 10]);
        for ticket in 0..length {
            let _ = queue.push(waiting(ticket), now);
        }
        group.bench_function(format!("push-and-pump-{length}"), |bench| {
            bench.iter(|| {
                let _ = queue.push(waiting(0), now);
                hint::black_box(queue.dispatch_waiting(now));
                queue.finish(limit::LimitSignal::Neutral, time::Duration::from_millis(1));
            });
        });
    }
    group.finish();
}

criterion::criterion_group!(decisions, bench_tables, bench_queues);
criterion::criterion_main!(decisions);
