//! The operators' commands: each calls one node and prints its answer.

use std::{io::IsTerminal, path::PathBuf, time::Duration};

use indicatif::{ProgressBar, ProgressStyle};

use crate::{
    error::Error,
    model::{
        id::{HostId, PlanId},
        plan::{Action, Plan, PlanState},
    },
    operator::{
        api::ReleaseRequest,
        client::{Answer, Client},
        message::{ApplyAnswer, ApplyRequest, Decision, IntentRequest, PlanView, Rows, Selection},
        show::{self, Format},
    },
    settings,
};

/// Time between two requests for a plan that is watched.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A command, with the node that it calls.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Command {
    pub(crate) node: String,
    pub(crate) format: Format,
    pub(crate) verb: Verb,
}

/// The operation of a command.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Verb {
    Status { list: String },
    Apply { file: PathBuf, yes: bool, by: String },
    Intent(Box<IntentRequest>),
    ShowPlan(PlanId),
    WatchPlan(PlanId),
    Confirm { plan: PlanId, digest: String, by: String },
    Cancel { plan: PlanId, by: String },
    Quarantine { host: HostId, reason: String, by: String },
    Release { host: HostId, by: String },
}

/// Runs a command.
pub(crate) async fn run(command: Command) -> Result<(), Error> {
    let client = Client::new(&command.node);
    let format = command.format;
    match command.verb {
        Verb::Status { list } => {
            let rows: Rows = client.get("status", &format!("status/{list}")).await?;
            print(format, &rows, show::rows);
        }
        Verb::Apply { file, yes, by } => apply(&client, format, &file, yes, by).await?,
        Verb::Intent(request) => propose(&client, format, &request).await?,
        Verb::ShowPlan(id) => {
            let view: PlanView = client.get("plan show", &format!("plans/{id}")).await?;
            print(format, &view, |view| {
                format!("{}\n{}", show::plan(&view.plan), show::progress(view))
            });
        }
        Verb::WatchPlan(id) => watch(&client, format, &id).await?,
        Verb::Confirm { plan, digest, by } => confirm(&client, format, &plan, digest, by).await?,
        Verb::Cancel { plan, by } => {
            let request = Decision { digest: None, by };
            let path = format!("plans/{plan}/cancel");
            let plan: Plan = client.post("plan cancel", &path, &request).await?;
            print(format, &plan, |plan| {
                format!("plan {} is cancelled; what it holds is released", plan.id)
            });
        }
        Verb::Quarantine { host, reason, by } => {
            let selection = Selection { hosts: vec![host], ..Selection::default() };
            let action = Action::Quarantine;
            let request = IntentRequest { action, selection, deadline: None, reason, by };
            propose(&client, format, &request).await?;
        }
        Verb::Release { host, by } => {
            let path = format!("hosts/{host}/release");
            let message: String =
                client.post("host release", &path, &ReleaseRequest { by }).await?;
            print(format, &message, String::clone);
        }
    }
    Ok(())
}

fn print<T: serde::Serialize>(format: Format, value: &T, table: impl FnOnce(&T) -> String) {
    match format {
        Format::Json => println!("{}", show::json(value)),
        Format::Table => println!("{}", table(value)),
    }
}

async fn apply(
    client: &Client,
    format: Format,
    file: &std::path::Path,
    yes: bool,
    by: String,
) -> Result<(), Error> {
    let config = settings::fleet::load(file)?;
    let request = ApplyRequest { config, by, dry: !yes };
    let answer: ApplyAnswer = client.post("apply", "apply", &request).await?;
    print(format, &answer, |answer| {
        let mut lines = answer.changes.clone();
        lines.push(match answer.number {
            Some(number) => format!("accepted as change {number}"),
            None if answer.changes.is_empty() => "nothing changes".to_owned(),
            None => "nothing was changed: use --yes to apply these changes".to_owned(),
        });
        lines.join("\n")
    });
    Ok(())
}

async fn propose(client: &Client, format: Format, request: &IntentRequest) -> Result<(), Error> {
    let plan: Plan = client.post("intent", "intents", request).await?;
    print(format, &plan, with_confirm_command);
    Ok(())
}

fn with_confirm_command(plan: &Plan) -> String {
    format!(
        "{}\nNothing moves until you confirm: caperhollow plan confirm {} --digest {}",
        show::plan(plan),
        plan.id,
        plan.digest
    )
}

async fn confirm(
    client: &Client,
    format: Format,
    id: &PlanId,
    digest: String,
    by: String,
) -> Result<(), Error> {
    let request = Decision { digest: Some(digest), by };
    let path = format!("plans/{id}/confirm");
    match client.try_post::<_, Plan>("plan confirm", &path, &request).await? {
        Answer::Done(plan) => {
            print(format, &plan, |plan| {
                format!(
                    "plan {} is confirmed; follow it with: caperhollow plan watch {}",
                    plan.id, plan.id
                )
            });
            Ok(())
        }
        Answer::Refused(refusal) => {
            if let Some(fresh) = &refusal.fresh {
                print(format, fresh.as_ref(), with_confirm_command);
            }
            Err(Error::Refused { node: client.node.clone(), reason: refusal.error })
        }
    }
}

async fn watch(client: &Client, format: Format, id: &PlanId) -> Result<(), Error> {
    let path = format!("plans/{id}");
    let mut bar: Option<ProgressBar> = None;
    let mut last_line = String::new();
    loop {
        let view: PlanView = client.get("plan watch", &path).await?;
        let total = view.plan.hosts().count();
        let line = format!(
            "plan {}: {}, {} of {total} hosts done, {} skipped",
            id,
            view.plan.state.as_str(),
            view.done,
            view.skipped
        );
        if std::io::stdout().is_terminal() && format == Format::Table {
            let bar = bar.get_or_insert_with(|| progress_bar(total));
            bar.set_position((view.done + view.skipped) as u64);
            bar.set_message(format!("{} skipped", view.skipped));
        } else if line != last_line {
            print(format, &view, |_| line.clone());
            last_line = line;
        }
        if matches!(view.plan.state, PlanState::Done | PlanState::Cancelled) {
            if let Some(bar) = bar {
                bar.finish();
            }
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn progress_bar(total: usize) -> ProgressBar {
    let style = ProgressStyle::with_template("{elapsed} {bar:40} {pos}/{len} hosts, {msg}");
    let bar = ProgressBar::new(total as u64);
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}
