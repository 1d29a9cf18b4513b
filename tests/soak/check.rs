//! What must hold, by what workers and callers saw alone.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Deserialize;

/// How long after a job was shown as done its last start may come, in milliseconds.
const SLACK_MS: u64 = 1_000;

/// So many workers may crash under a task that crashes them before its starts are counted, and it is
/// started fewer times than this after that.
const CRASHES: usize = 3;
const STARTS_AFTER: usize = 3;

/// How old a job must be to be counted among those that wait, in milliseconds: accepted jobs are known
/// to all nodes within three seconds, and the count may be two seconds old.
const COUNTED_MS: u64 = 5_000;

/// One event at a worker.
#[derive(Debug, Clone, Deserialize)]
pub struct Entry {
    pub at: u64,
    pub worker: String,
    pub kind: Kind,
    pub task: String,
    pub run: u32,
    pub token: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Started,
    Done,
    Failed,
    Stopped,
    Lapsed,
    Crashed,
    Acknowledged,
    Expired,
}

/// A job, as its caller saw it. Times are in milliseconds since 1970.
#[derive(Debug, Clone, Default)]
pub struct Story {
    pub pool: u32,
    /// How many tasks each step has; each step waits for the one before.
    pub steps: Vec<u32>,
    pub cpu: u32,
    pub work: u64,
    pub fails: bool,
    pub lasts: bool,
    /// Its tasks crash the workers that start them.
    pub crashes: bool,
    pub cancel_after: Option<u64>,
    pub accepted: Option<u64>,
    /// Some try to hand it in got no answer.
    pub unsure: Option<u64>,
    pub cancelled: Option<u64>,
    /// It was accepted, and a node knew nothing of it.
    pub lost: Option<u64>,
    pub shown: Vec<(u64, String)>,
    pub told: Vec<(u64, String)>,
}

/// How many jobs of a pool a node said to wait. Times as in [`Story`].
#[derive(Debug, Clone)]
pub struct Count {
    pub node: String,
    pub pool: u32,
    pub asked: u64,
    pub answered: u64,
    pub waiting: usize,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    pub rule: &'static str,
    pub job: String,
    /// The task, where there is one.
    pub task: String,
    pub at: u64,
}

/// The promises broken so far. At the end also whether all jobs have ended.
pub fn check(log: &[Entry], stories: &BTreeMap<String, Story>, at_end: bool) -> Vec<Broken> {
    let mut broken = Vec::new();
    let noted = noted(log);
    // By task, where it runs, and where the first of its ends that counts was.
    let mut running: HashMap<&str, Vec<&str>> = HashMap::new();
    let mut over: HashMap<&str, usize> = HashMap::new();
    let mut done: HashMap<&str, u64> = HashMap::new();
    let mut crashed: HashMap<&str, (usize, usize)> = HashMap::new();
    for (number, entry) in log.iter().enumerate() {
        let (task, at) = (entry.task.as_str(), entry.at);
        let job = task.split('.').next().unwrap_or_default();
        let mut is_broken = |rule| {
            broken.push(Broken { rule, job: job.to_owned(), task: task.to_owned(), at });
        };
        match entry.kind {
            Kind::Started => {
                let runs = running.entry(task).or_default();
                if !runs.is_empty() {
                    is_broken("runs twice at one time");
                }
                runs.push(&entry.worker);
                if over.contains_key(task) {
                    is_broken("starts after an end that was taken note of");
                }
                let Some(story) = stories.get(job) else {
                    is_broken("was never handed in");
                    continue;
                };
                if story.shown_as("succeeded").is_some_and(|shown| shown + SLACK_MS < at) {
                    is_broken("starts after its job was shown as succeeded");
                }
                let (crashes, after) = crashed.entry(task).or_default();
                *after += usize::from(CRASHES <= *crashes);
                if story.crashes && *after == STARTS_AFTER {
                    is_broken("starts on and on, and crashes its workers");
                }
                if !story.earlier_tasks(task).iter().all(|task| done.contains_key(task.as_str())) {
                    is_broken("starts before the steps before it are done");
                }
            }
            Kind::Acknowledged | Kind::Expired => {}
            how => {
                running.entry(task).or_default().retain(|worker| *worker != entry.worker);
                crashed.entry(task).or_default().0 += usize::from(how == Kind::Crashed);
                if how == Kind::Done {
                    done.entry(task).or_insert(at);
                    if noted.contains(&number) {
                        over.entry(task).or_insert(number);
                    }
                }
            }
        }
    }
    let started: BTreeSet<&str> = log
        .iter()
        .filter(|entry| entry.kind == Kind::Started)
        .filter_map(|entry| entry.task.split('.').next())
        .collect();
    for (job, story) in stories {
        let mut is_broken = |rule, at| {
            broken.push(Broken { rule, job: job.clone(), task: String::new(), at });
        };
        let last = story.told.last().map_or(0, |(at, _)| *at);
        if let Some(shown) = story.shown_as("succeeded")
            && !story
                .tasks(job)
                .iter()
                .all(|task| done.get(task.as_str()).is_some_and(|at| *at <= shown))
        {
            is_broken("is shown as succeeded before its tasks are done", shown);
        }
        if let Some(at) = story.lost {
            is_broken("was accepted and is not known", at);
        }
        let is_taken = story.accepted.is_some() || story.unsure.is_some();
        if at_end && !is_taken && started.contains(job.as_str()) {
            is_broken("was refused and runs", last);
        }
        let ends = ["succeeded", "failed", "cancelled"];
        if at_end
            && story.accepted.is_some()
            && !ends.iter().any(|end| story.shown_as(end).is_some())
        {
            is_broken("was accepted and does not end", last);
        }
    }
    broken.sort_by_key(|broken| broken.at);
    broken
}

/// Whether nodes told of half at the least of the jobs that have waited for long. The log must have been
/// read after the last count.
pub fn check_counts(
    log: &[Entry],
    stories: &BTreeMap<String, Story>,
    counts: &[Count],
) -> Vec<Broken> {
    let mut begun: HashMap<&str, u64> = HashMap::new();
    for entry in log.iter().filter(|entry| entry.kind == Kind::Started) {
        begun.entry(entry.task.split('.').next().unwrap_or_default()).or_insert(entry.at);
    }
    let broken = counts.iter().filter_map(|count| {
        let mut waiting = stories.iter().filter(|(job, story)| {
            let after = |at: Option<u64>| at.is_none_or(|at| count.answered < at);
            let is_old = story.accepted.is_some_and(|at| at + COUNTED_MS < count.asked);
            let waits = after(begun.get(job.as_str()).copied()) && after(story.cancelled);
            story.pool == count.pool && is_old && waits
        });
        let (job, _) = waiting.next()?;
        let wait = 1 + waiting.count();
        let rule = "waits, and fewer than half of such jobs are counted";
        let (job, at) = (job.clone(), count.answered);
        (count.waiting * 2 < wait).then_some(Broken { rule, job, task: String::new(), at })
    });
    broken.collect()
}

/// The ends `done` that a caller took note of before the worker's lease was over.
fn noted(log: &[Entry]) -> BTreeSet<usize> {
    let mut open: HashMap<(&str, &str, u32), usize> = HashMap::new();
    let mut noted = BTreeSet::new();
    for (number, entry) in log.iter().enumerate() {
        let key = (entry.worker.as_str(), entry.task.as_str(), entry.run);
        match entry.kind {
            Kind::Done => _ = open.insert(key, number),
            Kind::Expired => open.retain(|(worker, ..), _| *worker != entry.worker),
            Kind::Acknowledged => noted.extend(open.remove(&key)),
            _ => {}
        }
    }
    noted
}

impl Story {
    /// When a caller was first shown a state.
    fn shown_as(&self, state: &str) -> Option<u64> {
        self.shown.iter().find(|(_, shown)| shown == state).map(|(at, _)| *at)
    }

    fn tasks(&self, job: &str) -> Vec<String> {
        let steps = self.steps.iter().enumerate();
        steps.flat_map(|(step, count)| step_tasks(job, step, *count)).collect()
    }

    /// The tasks of all steps before that of a task.
    fn earlier_tasks(&self, task: &str) -> Vec<String> {
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0);
        let steps = self.steps.iter().enumerate().take(step);
        steps.flat_map(|(step, count)| step_tasks(job, step, *count)).collect()
    }
}

fn step_tasks(job: &str, step: usize, count: u32) -> impl Iterator<Item = String> {
    let job = job.to_owned();
    (0..count).map(move |index| format!("{job}.0.{step}.{index}"))
}
