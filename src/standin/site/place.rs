//! Where the stand-in's workers are: their pools, availability zones and racks.

use super::Options;

/// The pool of all workers; with several pools, the first one.
const FIRST_POOL: &str = "work";

/// The place of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) pool: String,
    pub(super) zone: String,
    pub(super) rack: String,
}

/// The place of the worker with a number: each pool is spread over the zones, and the workers of a
/// zone fill its racks one by one.
pub(super) fn of_worker(number: u32, options: &Options) -> Place {
    let (pools, zones) = (options.pools.max(1), options.zones.max(1));
    let zone = number / pools % zones;
    let index = number / (pools * zones) * pools + number % pools;
    let rack = match index.checked_div(options.rack_size) {
        Some(rack) => format!("r{}-{}", zone + 1, rack + 1),
        None => format!("r{}", zone + 1),
    };
    Place { pool: pool(number % pools), zone: zone_name(zone), rack }
}

fn pool(number: u32) -> String {
    match number {
        0 => FIRST_POOL.to_owned(),
        _ => format!("{FIRST_POOL}-{number}"),
    }
}

/// The name of a zone: a letter, or a number if there are more zones than letters.
fn zone_name(number: u32) -> String {
    match u8::try_from(number).ok().filter(|number| *number < 26) {
        Some(number) => format!("hall-{}", char::from(b'a' + number)),
        None => format!("hall-{number}"),
    }
}
