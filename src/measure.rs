//! Experiments: policies under random failures, the path of a request, and the cost of the control
//! plane.

mod bound;
mod export;
pub(crate) mod fleet;
mod mirror;
mod node;
mod owner;
mod path;
mod route;
pub(crate) mod shape;
mod stats;
mod target;
mod waves;

use std::path::PathBuf;

use crate::error::Error;

pub(crate) use export::Export;
pub(crate) use waves::POLICIES;

/// Options of the `measure` command.
pub(crate) struct Options {
    pub(crate) experiment: Experiment,
    pub(crate) export: Export,
}

/// The experiment to run.
pub(crate) enum Experiment {
    /// Waves under several policies, for several seeds.
    Waves { preset: String, policies: Vec<String>, seeds: Vec<u64> },
    /// Calls through a node, compared with direct calls to the endpoint.
    Path { callers: u32, requests: u32 },
    /// Cost of the control plane of a node.
    Node,
    /// Cost of applying the changes that the store's watches return.
    Mirror,
    /// Cost of the decisions of a pool's owner.
    Owner,
    /// Cost of a plan of the fleet owner.
    Fleet,
    /// Choice of endpoints, compared with baselines.
    Route,
}

/// Seeds used if none is given.
const DEFAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

/// Runs an experiment, prints its figures and writes the requested exports.
pub(crate) fn run(options: Options) -> Result<(), Error> {
    let figures = match options.experiment {
        Experiment::Waves { preset, .. } if preset == "target" => target::measure(),
        Experiment::Waves { preset, policies, seeds } => {
            let seeds = if seeds.is_empty() { DEFAULT_SEEDS.collect() } else { seeds };
            let all_policies = || POLICIES.map(str::to_owned).to_vec();
            let policies = if policies.is_empty() { all_policies() } else { policies };
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

/// A table of figures, with notes that explain them.
pub(crate) struct Figures {
    pub(crate) title: String,
    pub(crate) heading: Vec<&'static str>,
    pub(crate) rows: Vec<Vec<String>>,
    pub(crate) notes: Vec<String>,
}

/// Path of an export, if requested.
pub(crate) type ExportPath = Option<PathBuf>;
