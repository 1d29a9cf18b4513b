//! Formats answers for operators: tables for people, JSON for programs.

use std::{str::FromStr, time::Duration};

use comfy_table::{ContentArrangement, Table, presets::NOTHING};
use serde::Serialize;

use crate::{
    model::plan::{Plan, TradeOff},
    operator::message::{PlanView, Rows},
};

/// Output format of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Table,
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            _ => Err(format!("`{text}` is not a format: table or json are allowed")),
        }
    }
}

/// Formats a table with a heading.
pub(crate) fn table<const N: usize>(
    heading: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(heading);
    for row in rows {
        table.add_row(row);
    }
    table.trim_fmt()
}

/// Formats a value as JSON.
pub(crate) fn json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value)
        .unwrap_or_else(|error| format!("cannot be shown as JSON: {error}"))
}

/// Formats a duration for people: in milliseconds below 10 s, in seconds above.
pub(crate) fn span(span: Duration) -> String {
    let rounded = if span < Duration::from_secs(10) {
        Duration::from_millis(span.as_millis() as u64)
    } else {
        Duration::from_secs(span.as_secs())
    };
    humantime::format_duration(rounded).to_string()
}

/// Formats a list as a table.
pub(crate) fn rows(rows: &Rows) -> String {
    let yes = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
    match rows {
        Rows::Hosts(hosts) => table(
            ["host", "rack", "zone", "pool", "state", "epoch", "live", "tasks", "plan", "last"],
            hosts.iter().map(|h| {
                let plan = h.plan.as_ref().map(ToString::to_string).unwrap_or_default();
                [
                    h.host.to_string(),
                    h.rack.clone(),
                    h.zone.clone(),
                    h.pool.clone(),
                    h.state.clone(),
                    h.epoch.to_string(),
                    yes(h.live),
                    h.tasks.to_string(),
                    plan,
                    h.last.clone(),
                ]
            }),
        ),
        Rows::Pools(pools) => table(
            ["pool", "wanted", "hosts", "serving", "live", "services", "used"],
            pools.iter().map(|p| {
                [
                    p.pool.to_string(),
                    p.wanted.to_string(),
                    p.hosts.to_string(),
                    p.serving.to_string(),
                    p.live.to_string(),
                    p.services.to_string(),
                    format!("{}%", p.used_percent),
                ]
            }),
        ),
        Rows::Services(services) => table(
            [
                "service",
                "pool",
                "team",
                "tasks",
                "available",
                "max down",
                "reserve",
                "permits",
                "moves",
                "holds",
            ],
            services.iter().map(|s| {
                [
                    s.service.to_string(),
                    s.pool.to_string(),
                    s.team.clone(),
                    s.tasks.to_string(),
                    s.available.to_string(),
                    s.max_down.to_string(),
                    s.reserve.to_string(),
                    s.permits.to_string(),
                    s.moves.to_string(),
                    yes(s.holds),
                ]
            }),
        ),
        Rows::Plans(plans) => table(
            ["plan", "state", "action", "hosts", "done", "skipped", "by", "reason"],
            plans.iter().map(|p| {
                [
                    p.plan.to_string(),
                    p.state.clone(),
                    p.action.clone(),
                    p.hosts.to_string(),
                    p.done.to_string(),
                    p.skipped.to_string(),
                    p.by.clone(),
                    p.reason.clone(),
                ]
            }),
        ),
        Rows::Nodes(nodes) => table(
            ["node", "zone", "registered", "change", "view age", "heard"],
            nodes.iter().map(|n| {
                [
                    n.node.to_string(),
                    n.zone.to_string(),
                    yes(n.registered),
                    n.config.to_string(),
                    n.view_age.map(span).unwrap_or_else(|| "unknown".to_owned()),
                    n.heard.map(span).unwrap_or_default(),
                ]
            }),
        ),
        Rows::Changes(changes) => table(
            ["change", "by", "accepted", "nodes", "everywhere", "in force after"],
            changes.iter().map(|c| {
                let last = c.nodes.values().max();
                let after = c.accepted.zip(last).map(|(from, to)| span(to.since(from)));
                [
                    c.number.to_string(),
                    c.by.clone(),
                    c.accepted.map(|at| at.to_string()).unwrap_or_default(),
                    c.nodes.len().to_string(),
                    yes(c.everywhere),
                    after.unwrap_or_default(),
                ]
            }),
        ),
        Rows::Zones(zones) => table(
            ["zone", "hosts", "workers", "owned here", "responding", "running"],
            zones.iter().map(|z| {
                [
                    z.zone.to_string(),
                    z.hosts.to_string(),
                    z.workers.to_string(),
                    z.owned.to_string(),
                    z.responding.to_string(),
                    z.running.to_string(),
                ]
            }),
        ),
        Rows::Accounts(accounts) => table(
            [
                "account",
                "weight",
                "limit",
                "sent",
                "beyond",
                "refused here",
                "running here",
                "waiting here",
            ],
            accounts.iter().map(|a| {
                [
                    a.account.to_string(),
                    a.weight.clone(),
                    a.limit.clone(),
                    format!("{}/s", a.sent),
                    a.beyond.to_string(),
                    a.refused.to_string(),
                    a.running.to_string(),
                    a.waiting.to_string(),
                ]
            }),
        ),
    }
}

/// Formats a plan as it is shown before its confirmation.
pub(crate) fn plan(plan: &Plan) -> String {
    let mut lines = vec![
        format!("plan       {}", plan.id),
        format!("intent     {}: {}", plan.intent.action, plan.intent.reason),
        format!("state      {} (by {})", plan.state.as_str(), plan.by),
        format!("hosts      {}", plan.hosts().count()),
    ];
    for (pool, part) in &plan.pools {
        lines.push(format!("pool       {pool}: at most {} hosts out at one time", part.max_out));
        for (number, batch) in part.batches.iter().enumerate() {
            let hosts: Vec<String> = batch.iter().map(ToString::to_string).collect();
            lines.push(format!("  batch {:<3} {}", number + 1, hosts.join(" ")));
        }
    }
    let cost = &plan.cost;
    lines.push(format!(
        "cost       buffer {} cores, roll-out {}, {} moves",
        cost.buffer.0 / 1000,
        span(Duration::from_secs(cost.seconds)),
        cost.moves
    ));
    if let Some(deadline) = plan.intent.deadline {
        let ends = plan.created + Duration::from_secs(cost.seconds);
        let verdict = if deadline < ends { "missed: it would end" } else { "met: it would end" };
        lines.push(format!("deadline   {verdict} at {ends}"));
    }
    for (pool, part) in &plan.pools {
        lines.push(format!("choices    of pool {pool}, by hosts out at one time:"));
        lines.push(indented(&trades(&part.trades)));
    }
    let tightest = cost.tightest.iter().map(|t| {
        [
            t.service.to_string(),
            t.peak_out.to_string(),
            t.reserve.to_string(),
            t.max_down.to_string(),
        ]
    });
    lines.push("nearest to their budgets:".to_owned());
    lines.push(indented(&table(["service", "most out", "reserve", "max down"], tightest)));
    for (host, reason) in &cost.impossible {
        lines.push(format!("impossible {host}: {reason}"));
    }
    lines.push(format!("digest     {}", plan.digest));
    lines.join("\n")
}

fn trades(trades: &[TradeOff]) -> String {
    let rows = trades.iter().map(|t| {
        [
            t.max_out.to_string(),
            (t.buffer.0 / 1000).to_string(),
            span(Duration::from_secs(t.seconds)),
            t.moves.to_string(),
            if t.frugal { "few" } else { "" }.to_owned(),
            if t.chosen { "chosen" } else { "" }.to_owned(),
        ]
    });
    table(["hosts out", "buffer cores", "roll-out", "moves", "second moves", ""], rows)
}

fn indented(text: &str) -> String {
    let lines: Vec<String> = text.lines().map(|line| format!("  {line}")).collect();
    lines.join("\n")
}

/// Formats a plan's progress.
pub(crate) fn progress(view: &PlanView) -> String {
    let hosts = view.hosts.iter().map(|(host, text)| [host.to_string(), text.clone()]);
    format!(
        "plan {}: {}, {} of {} hosts done, {} skipped\n{}",
        view.plan.id,
        view.plan.state.as_str(),
        view.done,
        view.plan.hosts().count(),
        view.skipped,
        indented(&table(["host", "now"], hosts))
    )
}
