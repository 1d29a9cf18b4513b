//! The fleet's configuration file: pools, services with budgets, and teams.

use std::path::Path;

use crate::{
    model::{
        config::{Config, FailureDomain, Pool, Resources, Service, Team},
        request::Class,
        unit::{Megabytes, Millicores, PerSecond},
    },
    settings::{
        Problems,
        node::read_file,
        reader::{self, Section},
    },
};

/// Loads the configuration from a file.
pub(crate) fn load(path: &Path) -> Result<Config, Problems> {
    let file = path.display().to_string();
    let text = read_file(path, &file)?;
    parse(&file, &text)
}

/// Parses a configuration.
pub(crate) fn parse(file: &str, text: &str) -> Result<Config, Problems> {
    reader::read(file, text, |section| {
        let pools = section.entries("pools", pool);
        let services = section.entries("services", service);
        let teams = section.entries("teams", team);
        Some(Config { pools: pools?, services: services?, teams: teams? })
    })
}

fn pool(section: &Section<'_>) -> Option<Pool> {
    let hosts = section.number("hosts", 1..=100_000);
    Some(Pool { hosts: hosts? as u32 })
}

fn team(section: &Section<'_>) -> Option<Team> {
    let rate = section.number("rate", 1..=1_000_000);
    Some(Team { rate: PerSecond(rate? as u32) })
}

fn service(section: &Section<'_>) -> Option<Service> {
    let pool = section.text("pool");
    let team = section.text("team");
    let class = section.text_or("class", Class::Normal);
    let tasks = section.number("tasks", 1..=10_000);
    let cores = section.number("cores_m", 1..=1_000_000);
    let memory = section.number("memory_mb", 1..=16_000_000);
    let accelerators = section.number_or("accelerators", 0..=64, 0);
    let max_down = section.number("max_down", 0..=10_000);
    let survive = section.text_or("survive", FailureDomain::Rack);
    let slots = section.number_or("slots", 1..=10_000, 8);
    let connections = section.number_or("connections", 1..=100_000, 64);
    let once = section.flag_or("once", false);
    let surge = section.flag_or("surge", true);
    let need = Resources {
        cores: Millicores(cores? as u32),
        memory: Megabytes(memory? as u32),
        accelerators: accelerators? as u32,
    };
    Some(Service {
        pool: pool?,
        team: team?,
        class: class?,
        tasks: tasks? as u32,
        need,
        max_down: max_down? as u32,
        survive: survive?,
        slots: slots? as u32,
        connections: connections? as u32,
        once: once?,
        surge: surge?,
    })
}
