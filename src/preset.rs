//! Model fleets for the demo and the experiments: those of two users, and one of the target size.

use std::collections::BTreeMap;

use crate::{
    decide::rules::Weights,
    model::{
        config::{Config, FailureDomain, Pool, Resources, Service, Team},
        request::Class,
        unit::{Megabytes, Millicores, PerSecond},
    },
    settings::node::Policy,
};

/// A model fleet: its configuration, hosts and zones.
#[derive(Debug, Clone)]
pub(crate) struct Preset {
    pub(crate) name: &'static str,
    pub(crate) config: Config,
    pub(crate) hosts: u32,
    pub(crate) rack_size: u32,
    pub(crate) zones: u32,
    pub(crate) capacity: Resources,
    pub(crate) policy: Policy,
}

impl Preset {
    /// The weights of the user's policy.
    pub(crate) fn weights(&self) -> Weights {
        self.policy.weights()
    }
}

/// Capacity of every host: 32 cores and 128 GB.
pub(crate) const HOST: Resources =
    Resources { cores: Millicores(32_000), memory: Megabytes(128 * 1024), accelerators: 0 };

/// Resources of a task of the users' services.
const TASK: Resources =
    Resources { cores: Millicores(8_000), memory: Megabytes(24 * 1024), accelerators: 0 };

/// The preset of a user's fleet, by its name.
pub(crate) fn by_name(name: &str) -> Option<Preset> {
    match name {
        "tyrehub" => Some(tyrehub()),
        "partsbook" => Some(partsbook()),
        _ => None,
    }
}

/// Tyrehub: four halls in one data centre, about 50 hosts in racks of four, five services of ten
/// tasks each.
pub(crate) fn tyrehub() -> Preset {
    let services = [
        ("quotes", "shops", "bays", Class::Urgent, false),
        ("stock", "shops", "stores", Class::Batch, true),
        ("claims", "back", "warranty", Class::Batch, true),
        ("reports", "back", "haulage", Class::Normal, false),
        ("prices", "shops", "bays", Class::Normal, false),
    ];
    let pools = [("shops", 30), ("back", 20)];
    Preset {
        name: "tyrehub",
        config: config(&pools, &services),
        hosts: 50,
        rack_size: 4,
        zones: 4,
        capacity: HOST,
        policy: Policy::BufferFirst,
    }
}

/// Partsbook: three halls, about 50 hosts, five services of ten tasks each.
pub(crate) fn partsbook() -> Preset {
    let services = [
        ("lookup", "counter", "catalogue", Class::Urgent, false),
        ("prices", "counter", "dealers", Class::Normal, false),
        ("orders", "counter", "dealers", Class::Normal, true),
        ("sync", "night", "imports", Class::Batch, true),
        ("search", "night", "catalogue", Class::Normal, false),
    ];
    let pools = [("counter", 30), ("night", 20)];
    Preset {
        name: "partsbook",
        config: config(&pools, &services),
        hosts: 50,
        rack_size: 4,
        zones: 3,
        capacity: HOST,
        policy: Policy::TimeFirst,
    }
}

type ServiceRow = (&'static str, &'static str, &'static str, Class, bool);

fn config(pools: &[(&str, u32)], services: &[ServiceRow]) -> Config {
    fn id<T: std::str::FromStr>(text: &str) -> T
    where
        T::Err: std::fmt::Debug,
    {
        text.parse().expect("names in presets are valid identifiers")
    }
    let mut config = Config::default();
    for (name, hosts) in pools {
        config.pools.insert(id(name), Pool { hosts: *hosts });
    }
    for (name, pool, team, class, once) in services {
        config.teams.insert(id(team), Team { rate: PerSecond(10_000) });
        let service = Service {
            pool: id(pool),
            team: id(team),
            class: *class,
            tasks: 10,
            need: TASK,
            max_down: 3,
            survive: FailureDomain::Rack,
            slots: 8,
            connections: 64,
            once: *once,
            surge: true,
        };
        config.services.insert(id(name), service);
    }
    config
}

/// The fleet size expected in two years: 6,800 hosts, 390 pools, 46 teams, eight availability
/// zones. The number of pools is scaled to `hosts`.
pub(crate) fn target(hosts: u32) -> Preset {
    const HOSTS: u32 = 6_800;
    const POOLS: u32 = 390;
    const TEAMS: u32 = 46;
    const SERVICES_PER_POOL: u32 = 2;
    let pools = (u64::from(POOLS) * u64::from(hosts) / u64::from(HOSTS)).max(1) as u32;
    let mut config = Config { pools: BTreeMap::new(), ..Config::default() };
    for number in 0..pools {
        // The remainder of the division goes to the first pools.
        let count = hosts / pools + u32::from(number < hosts % pools);
        let pool: crate::model::id::PoolId =
            format!("pool-{number:03}").parse().expect("generated names are valid identifiers");
        config.pools.insert(pool.clone(), Pool { hosts: count });
        for index in 0..SERVICES_PER_POOL {
            let team = format!("team-{:02}", (number + index) % TEAMS);
            let team: crate::model::id::TeamId =
                team.parse().expect("generated names are valid identifiers");
            config.teams.insert(team.clone(), Team { rate: PerSecond(10_000) });
            let class = if index == 0 { Class::Urgent } else { Class::Batch };
            let service = Service {
                pool: pool.clone(),
                team,
                class,
                tasks: (count * 7 / 10).max(2),
                need: TASK,
                max_down: (count * 7 / 10 * 3 / 10).max(1),
                survive: FailureDomain::Rack,
                slots: 8,
                connections: 64,
                once: index != 0,
                surge: true,
            };
            let name = format!("service-{number:03}-{index}");
            config
                .services
                .insert(name.parse().expect("generated names are valid identifiers"), service);
        }
    }
    Preset {
        name: "target",
        config,
        hosts,
        rack_size: 20,
        zones: 8,
        capacity: HOST,
        policy: Policy::TimeFirst,
    }
}
