//! What tests share: samples, and fuzzing that draws the same operations in every run.
//!
//! Bolero's own test engine draws its seeds from the system, so that two runs of CI could differ.
//! Here its generators are fed from fixed seeds instead. `CAPERHOLLOW_FUZZ_SEED` and
//! `CAPERHOLLOW_FUZZ_RUNS` look elsewhere, and further.

pub(crate) mod sample;

use std::panic::{AssertUnwindSafe, catch_unwind};

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{ByteSliceDriver, Options},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Bytes from which one operation is drawn at the most.
const BYTES: usize = 32;

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs sequences of drawn operations. One that fails is shortened as far as it still fails, and
/// told with its seed.
pub(crate) fn fuzz<T>(runs: u64, len: usize, test: impl Fn(&[T]))
where
    T: TypeGenerator + Clone + std::fmt::Debug,
{
    let first = variable("CAPERHOLLOW_FUZZ_SEED", 0);
    for seed in first..first + variable("CAPERHOLLOW_FUZZ_RUNS", runs) {
        let ops = draw(seed, len);
        if !fails(&ops, &test) {
            continue;
        }
        let ops = shorten(ops, |ops| fails(ops, &test));
        eprintln!("seed {seed}, shortened to {} operations: {ops:#?}", ops.len());
        test(&ops);
    }
}

/// Runs the sequence of operations that one seed draws.
pub(crate) fn replay<T: TypeGenerator>(seed: u64, len: usize, test: impl Fn(&[T])) {
    test(&draw(seed, len));
}

fn draw<T: TypeGenerator>(seed: u64, len: usize) -> Vec<T> {
    let mut bytes = vec![0; len * BYTES];
    Pcg64::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut driver = ByteSliceDriver::new(&bytes, &Options::default().with_max_len(bytes.len()));
    std::iter::from_fn(|| T::generate(&mut driver)).take(len).collect()
}

fn fails<T>(ops: &[T], test: &impl Fn(&[T])) -> bool {
    catch_unwind(AssertUnwindSafe(|| test(ops))).is_err()
}

/// Leaves out parts, halves first and single operations last, as long as it still fails.
fn shorten<T: Clone>(mut ops: Vec<T>, fails: impl Fn(&[T]) -> bool) -> Vec<T> {
    let mut part = ops.len().div_ceil(2);
    while part != 0 {
        let mut at = 0;
        while at < ops.len() {
            let mut fewer = ops.clone();
            fewer.drain(at..(at + part).min(ops.len()));
            if fails(&fewer) {
                ops = fewer;
            } else {
                at += part;
            }
        }
        part = if part == 1 { 0 } else { part.div_ceil(2) };
    }
    ops
}
