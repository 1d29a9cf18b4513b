//! Shared by tests: samples, and fuzzing that generates the same operations in every run.
//!
//! Bolero's own test engine draws its seeds from the system, so that two runs of CI could differ.
//! Here its generators are fed from fixed seeds instead. `CAPERHOLLOW_FUZZ_SEED` sets
//! the first seed, and `CAPERHOLLOW_FUZZ_RUNS` the number of seeds.

pub(crate) mod sample;
pub(crate) mod stopped_clock;

use std::panic::{AssertUnwindSafe, catch_unwind};

use bolero::{
    TypeGenerator,
    generator::bolero_generator::driver::{ByteSliceDriver, Options},
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Maximum random bytes for one operation.
const BYTES_PER_OP: usize = 32;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs sequences of generated operations. A failing one is shortened as long as it still fails,
/// and printed with its seed.
pub(crate) fn fuzz<T>(runs: u64, len: usize, test: impl Fn(&[T]))
where
    T: TypeGenerator + Clone + std::fmt::Debug,
{
    let first = env_number("CAPERHOLLOW_FUZZ_SEED", 0);
    for seed in first..first + env_number("CAPERHOLLOW_FUZZ_RUNS", runs) {
        let ops = generate_ops(seed, len);
        if !fails(&ops, &test) {
            continue;
        }
        let ops = shorten(ops, |ops| fails(ops, &test));
        eprintln!("seed {seed}, shortened to {} operations: {ops:#?}", ops.len());
        test(&ops);
    }
}

/// Runs the sequence of operations that one seed generates.
pub(crate) fn replay<T: TypeGenerator>(seed: u64, len: usize, test: impl Fn(&[T])) {
    test(&generate_ops(seed, len));
}

fn generate_ops<T: TypeGenerator>(seed: u64, len: usize) -> Vec<T> {
    let mut bytes = vec![0; len * BYTES_PER_OP];
    Pcg64::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut driver = ByteSliceDriver::new(&bytes, &Options::default().with_max_len(bytes.len()));
    std::iter::from_fn(|| T::generate(&mut driver)).take(len).collect()
}

fn fails<T>(ops: &[T], test: &impl Fn(&[T])) -> bool {
    catch_unwind(AssertUnwindSafe(|| test(ops))).is_err()
}

/// Removes parts, halves first and single operations last, as long as the test still fails.
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
