//! How orders to workers leave the node: by calls of its own, or by way of another node.

use std::{net::SocketAddr, time::Instant};

use super::{
    Drive, Input,
    tally::{Caller, UnderWay},
};
use crate::{
    jobs::{
        event::{Effect, Event},
        helpers,
    },
    model::{id::Incarnation, order::Advised, unit::Steady, worker::OrderEnd},
    scheduler::{
        dispatch::{
            call::{self, call},
            link::Outgoing,
            wire::Answer,
        },
        lease::Tenure,
    },
};

/// How often it is decided who makes whose calls, in milliseconds: hosts come to a pool within
/// seconds, and until then the owner calls those that are new.
const HELPERS_MS: u64 = 250;

/// How long an owner calls a worker itself that gave no answer to another node, in milliseconds: the
/// path from there may be cut, and this one not.
const DETOUR_MS: u64 = 2_000;

impl Drive {
    /// Has an owner's orders carried out, by this node or another.
    pub(super) fn carry_out(&mut self, name: &str, token: u64, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Advise { step, workers, needs } => {
                    let tell = self.teller(name, token);
                    let (adviser, advising) = (self.adviser.clone(), self.advising.clone());
                    let node = self.node.clone();
                    tokio::spawn(async move {
                        let turn = advising.acquire().await;
                        let sent = node.now().steady;
                        let end = match &adviser {
                            Some(adviser) => adviser.ask(step, &workers, needs).await,
                            None => Advised::Failed,
                        };
                        drop(turn);
                        tell(Event::Advised { step, asked: workers, sent, end });
                    });
                }
                order => match self.helper(name, &order) {
                    Some(address) => self.pass_on(address, name, token, order),
                    None => self.call(name, token, order),
                },
            }
        }
    }

    /// Tells the owner of a piece of work of an event.
    fn teller(&self, name: &str, token: u64) -> impl FnOnce(Event) + Send + 'static {
        let (to, name) = (self.to.clone(), name.to_owned());
        move |event| {
            // The receiver ends with the process only.
            let _ = to.send(Input::Owner { name, token, event: Box::new(event) });
        }
    }

    /// Tells whether an order under an ownership may still be sent: between the decision and that
    /// moment the process may have stood still. Whatever was decided before that waits until the
    /// store has confirmed the owner since: while it stood still, another one may have come.
    pub(super) fn permit(&self, name: &str) -> impl Fn() -> bool + Send + 'static {
        let tenure = self.owned.get(name).map(|owned| owned.tenure.clone());
        let node = self.node.clone();
        move || {
            let now = node.now().steady;
            let may = |tenure: &Tenure| {
                tenure.allows_orders(now) && !tenure.is_older_than(node.clock.woke())
            };
            tenure.as_ref().is_some_and(may)
        }
    }

    /// Counts an order until it has ended.
    fn under_way(&self, name: &str, caller: Caller) -> Option<UnderWay> {
        let tally = &self.owned.get(name)?.tally;
        Some(UnderWay::new(tally, &self.node.metrics, caller))
    }

    /// Makes the call itself.
    fn call(&self, name: &str, token: u64, effect: Effect) {
        let (tell, may_go) = (self.teller(name, token), self.permit(name));
        let runners = self.runners.clone();
        let metrics = self.node.metrics.clone();
        let under_way = self.under_way(name, Caller::Own);
        let (sent, began) = (self.node.now().steady, Instant::now());
        tokio::spawn(async move {
            let answer = match may_go() {
                true => call(&runners, &effect).await,
                false => Answer::End(OrderEnd::Unsent),
            };
            metrics.ordered(kind(&effect), outcome(&answer), began.elapsed());
            if let Some(under_way) = under_way {
                under_way.ended(outcome(&answer));
            }
            if let Some(event) = call::event(effect, sent, answer) {
                tell(event);
            }
        });
    }

    /// Has another node make the call, with all others that go there in this step.
    fn pass_on(&mut self, address: SocketAddr, name: &str, token: u64, effect: Effect) {
        let tell = self.teller(name, token);
        let to = self.to.clone();
        let worker = addressee(&effect).cloned();
        let (metrics, kind) = (self.node.metrics.clone(), kind(&effect));
        let (under_way, began) = (self.under_way(name, Caller::Other), Instant::now());
        let tell = move |event: Event, unanswered: bool| {
            metrics.ordered(kind, end_of(&event), began.elapsed());
            if let Some(under_way) = under_way {
                under_way.ended(end_of(&event));
            }
            if let Some(worker) = worker.filter(|_| unanswered) {
                // The receiver ends with the process only.
                let _ = to.send(Input::Detour(worker));
            }
            tell(event);
        };
        let (sent, may_go) = (self.node.now().steady, Box::new(self.permit(name)));
        let order = Outgoing { effect, sent, may_go, tell: Box::new(tell) };
        self.outbox.entry(address).or_default().push(order);
    }

    /// Sends what this step has for other nodes.
    pub(super) fn flush(&mut self) {
        for (address, orders) in std::mem::take(&mut self.outbox) {
            self.links.send(address, orders);
        }
    }

    /// The address of the node that is to make a call; none if this one is.
    fn helper(&self, name: &str, effect: &Effect) -> Option<SocketAddr> {
        let worker = addressee(effect)?;
        let helper = self.owned.get(name)?.helpers.of(worker)?;
        if self.detours.contains_key(worker) {
            return None;
        }
        let address = self.node.view().nodes.get(helper)?.value.peers?;
        self.links.is_open(address).then_some(address)
    }

    /// Takes note that a worker gave no answer to the node that was to call it.
    pub(super) fn detour(&mut self, worker: Incarnation, now: Steady) {
        self.detours.insert(worker, now.after(DETOUR_MS));
    }

    /// Decides who makes whose calls.
    pub(super) fn choose_helpers(&mut self, now: Steady) {
        if now < self.next_helpers {
            return;
        }
        self.next_helpers = now.after(HELPERS_MS);
        self.detours.retain(|_, until| now < *until);
        let candidates = self.candidates();
        let cpu = self.node.settings.cpu;
        let all = self.owned.values().map(|owned| owned.owner.worker_count()).sum();
        for (name, owned) in &mut self.owned {
            if helpers::is_small(all, cpu) {
                owned.helpers.clear();
                continue;
            }
            owned.helpers.choose(name, &candidates, &owned.owner.worker_ids());
        }
        let nodes: Vec<String> =
            self.owned.values().flat_map(|owned| owned.helpers.nodes().cloned()).collect();
        let view = self.node.view();
        let addresses: Vec<SocketAddr> =
            nodes.iter().filter_map(|node| view.nodes.get(node)?.value.peers).collect();
        drop(view);
        self.links.keep_only(&addresses);
    }

    /// The nodes that may make calls: those that own nothing, so that they have time.
    fn candidates(&self) -> Vec<String> {
        let view = self.node.view();
        let me = self.node.settings.node.as_str();
        let owns = |name: &str| view.owners.values().any(|owner| owner.value.node == name);
        let others = view
            .nodes
            .iter()
            .filter(|(name, at)| *name != me && at.value.peers.is_some() && !owns(name));
        others.map(|(name, _)| name.clone()).collect()
    }
}

fn addressee(effect: &Effect) -> Option<&Incarnation> {
    match effect {
        Effect::Start { to, .. }
        | Effect::Stop { to, .. }
        | Effect::Look { to, .. }
        | Effect::Pace { to, .. } => Some(&to.worker),
        Effect::Advise { .. } => None,
    }
}

fn kind(effect: &Effect) -> &'static str {
    match effect {
        Effect::Start { .. } => "start",
        Effect::Stop { .. } => "stop",
        Effect::Look { .. } => "look",
        Effect::Pace { .. } => "pace",
        Effect::Advise { .. } => "advise",
    }
}

fn outcome(answer: &Answer) -> &'static str {
    match answer {
        Answer::End(end) => word(end),
        Answer::Look(end) => word(end),
    }
}

/// The outcome of an order, by what its owner is told.
fn end_of(event: &Event) -> &'static str {
    match event {
        Event::Started { end, .. } | Event::Stopped { end, .. } | Event::Paced { end, .. } => {
            word(end)
        }
        Event::Looked { end, .. } => word(end),
        _ => "done",
    }
}

fn word<T>(end: &OrderEnd<T>) -> &'static str {
    match end {
        OrderEnd::Done(_) => "done",
        OrderEnd::Refused { .. } => "refused",
        OrderEnd::Unknown => "unanswered",
        OrderEnd::Unsent => "unsent",
    }
}
