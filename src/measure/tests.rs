//! Unit tests of the estimators and distributions.

use super::*;
use rand_core::SeedableRng;

#[test]
fn quantile_estimate_converges_to_the_quantile_of_the_stream() {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut first_decile = QuantileEstimator::new(50.0);
    let mut sum = 0.0;
    for i in 0..40_000 {
        first_decile.observe(100.0 * uniform(&mut rng), 0.1, 0.02);
        if i >= 20_000 {
            sum += first_decile.estimate();
        }
    }
    let mean = sum / 20_000.0;
    assert!((mean - 10.0).abs() < 1.0, "{mean}");
}

#[test]
fn normal_quantile_follows_the_normal_distribution() {
    for (probability, quantile) in [
        (0.05, -1.6449),
        (0.1587, -1.0),
        (0.3333, -0.4308),
        (0.8413, 1.0),
        (0.95, 1.6449),
    ] {
        assert!(
            (normal_quantile(probability) / quantile - 1.0_f64).abs() < 0.1,
            "{probability}"
        );
    }
    assert_eq!(normal_quantile(0.5), 0.0);
}

#[test]
fn zipf_share_is_exceeded_with_the_given_probability() {
    let destinations = 250.0;
    let sum: f64 = (1..=250).map(|rank| 1.0 / f64::from(rank)).sum();
    for probability in [1.0 / 3.0, 0.5, 2.0 / 3.0, 0.8] {
        let threshold = zipf_share(destinations, probability);
        // An item goes to the n-th destination with a probability equal to that destination's share.
        let above = (1..=250)
            .map(|rank| 1.0 / f64::from(rank) / sum)
            .take_while(|share| *share >= threshold)
            .sum::<f64>();
        assert!(
            (above - probability).abs() < 0.1,
            "{probability}: {above} at {threshold}"
        );
    }
}
