//! Experiments: policies over drawn failures, the path of a request, and the cost of control.

mod bound;
mod export;
pub(crate) mod fleet;
mod mirror;
mod node;
mod owner;
mod path;
mod route;
mod sample;
pub(crate) mod shape;
mod target;
mod waves;

use std::path::PathBuf;

use crate::error::Error;

pub(crate) use export::Export;
pub(crate) use waves::POLICIES;

/// How an experiment is run.
pub(crate) struct Options {
    pub(crate) experiment: Experiment,
    pub(crate) export: Export,
}

/// What is measured.
pub(crate) enum Experiment {
    /// Waves under policies, over seeds.
    Waves { preset: String, policies: Vec<String>, seeds: Vec<u64> },
    /// Calls through a node against calls straight to the endpoint.
    Path { callers: u32, requests: u32 },
    /// What control costs a node.
    Node,
    /// What it costs to take in what watches tell of.
    Mirror,
    /// What an owner's decisions cost.
    Owner,
    /// What a decision of the fleet's owner costs.
    Fleet,
    /// The choice of endpoints against baselines.
    Route,
}

/// Seeds that are run when none is named.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// Runs an experiment, prints its figures and writes them where they are asked for.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    let figures = match options.experiment {
        Experiment::Waves { preset, .. } if preset == "target" => target::measure(),
        Experiment::Waves { preset, policies, seeds } => {
            let seeds = if seeds.is_empty() { SEEDS.collect() } else { seeds };
            let all = || POLICIES.map(str::to_owned).to_vec();
            let policies = if policies.is_empty() { all() } else { policies };
            waves::measure(&preset, &policies, &seeds)?
        }
        Experiment::Path { callers, requests } => path::measure(callers, requests)?,
        Experiment::Node => node::measure()?,
        Experiment::Mirror => mirror::measure()?,
        Experiment::Owner => owner::measure(),
        Experiment::Fleet => fleet::measure(),
        Experiment::Route => route::measure(),
    };
    println!("{}", figures.text());
    options.export.write(&figures)
}

/// A table of figures, with what they mean.
pub(crate) struct Figures {
    pub(crate) title: String,
    pub(crate) heading: Vec<&'static str>,
    pub(crate) rows: Vec<Vec<String>>,
    pub(crate) notes: Vec<String>,
}

/// The file to which an export goes, if any.
pub(crate) type Target = Option<PathBuf>;
