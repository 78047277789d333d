//! Unit tests of `measure.rs`.

use super::*;
use rand_core::SeedableRng;

#[test]
fn a_quantile_settles_where_its_part_of_the_figures_lies_below() {
    let (mut rng, mut tenth) = (Pcg32::seed_from_u64(1), Quantile::new(50.0));
    let mut sum = 0.0;
    for i in 0..40_000 {
        tenth.feed(100.0 * uniform(&mut rng), 0.1, 0.02);
        sum += if i >= 20_000 { tenth.get() } else { 0.0 };
    }
    assert!((sum / 20_000.0 - 10.0).abs() < 1.0, "{}", sum / 20_000.0);
}

#[test]
fn deviations_lie_along_the_normal_curve() {
    for (probability, normal) in [
        (0.05, -1.6449),
        (0.1587, -1.0),
        (0.3333, -0.4308),
        (0.8413, 1.0),
        (0.95, 1.6449),
    ] {
        assert!(
            (deviations(probability) / normal - 1.0_f64).abs() < 0.1,
            "{probability}"
        );
    }
    assert_eq!(deviations(0.5), 0.0);
}

#[test]
fn the_part_of_a_place_by_zipfs_law_lies_as_often_below_as_told() {
    let places = 250.0;
    let sum: f64 = (1..=250).map(|rank| 1.0 / f64::from(rank)).sum();
    for probability in [1.0 / 3.0, 0.5, 2.0 / 3.0, 0.8] {
        let part = zipf_part(places, probability);
        // One of the stream comes through the n-th place with its part: how much comes through places of more than this.
        let above = (1..=250)
            .map(|rank| 1.0 / f64::from(rank) / sum)
            .take_while(|here| *here >= part)
            .sum::<f64>();
        assert!(
            (above - probability).abs() < 0.1,
            "{probability}: {above} at {part}"
        );
    }
}
