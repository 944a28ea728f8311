//! Tests: the Maglev table: full, fair, weighted, and stable when an endpoint goes.

use super::super::hashing::TABLE_SLOTS;
use super::super::maglev::populate;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("10.0.{i}.7:80")).collect()
}

fn shares(table: &[u16], n: usize) -> Vec<usize> {
    let mut counts = vec![0; n];
    table.iter().for_each(|at| counts[usize::from(*at)] += 1);
    counts
}

#[test]
fn table_is_full_and_fair() {
    for n in [1, 2, 3, 12, 100] {
        let names = names(n);
        let endpoints: Vec<_> = names.iter().map(|id| (id.as_str(), 1.0)).collect();
        let table = populate(&endpoints);
        assert_eq!(table.len(), TABLE_SLOTS);
        let counts = shares(&table, n);
        assert!(counts.iter().max().unwrap() - counts.iter().min().unwrap() <= 1, "{n} servers: {counts:?}");
    }
    assert!(populate(&[]).is_empty());
}

#[test]
fn table_follows_weights() {
    let table = populate(&[("a", 1.0), ("b", 1.5), ("c", 3.0), ("d", 0.0)]);
    let counts = shares(&table, 4);
    for (count, wanted) in counts.iter().zip([1.0, 1.5, 3.0, 0.0]) {
        assert!((*count as f64 - wanted / 5.5 * TABLE_SLOTS as f64).abs() <= 4.0, "{counts:?}");
    }
    // No weight at all counts as equal weights.
    let counts = shares(&populate(&[("a", 0.0), ("b", 0.0)]), 2);
    assert!(counts[0].abs_diff(counts[1]) <= 1);
}

#[test]
fn removal_moves_few_keys_of_the_others() {
    let names = names(12);
    let all: Vec<_> = names.iter().map(|id| (id.as_str(), 1.0)).collect();
    let before = populate(&all);
    let less = [&all[..5], &all[6..]].concat();
    let after = populate(&less);
    let moved = (0..TABLE_SLOTS)
        .filter(|i| before[*i] != 5 && all[usize::from(before[*i])] != less[usize::from(after[*i])]);
    let share = moved.count() as f64 / TABLE_SLOTS as f64;
    assert!(share < 0.05, "{share} of the slots moved without need");
}
