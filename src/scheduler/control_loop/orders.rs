//! Sends orders to workers, either directly or through delegates (other nodes that make the calls).

use std::{net::SocketAddr, time::Instant};

use super::{
    ControlLoop, Input,
    order_counts::{CallingNode, PendingOrder},
};
use crate::{
    jobs::{
        delegates,
        event::{Effect, Event},
        reach::{PathEnd, Target},
        start::route::Caller,
    },
    model::{id::Incarnation, order::AdviceResult, unit::Steady, worker::OrderResult},
    scheduler::{
        dispatch::{
            call::{self, call},
            link::{Outgoing, path_end},
            wire::Answer,
        },
        lease::Tenure,
        view::NodeRecord,
    },
};

/// Interval between choices of delegates, in milliseconds. Hosts join a pool within seconds, and
/// the owner calls new ones directly until then.
pub(super) const DELEGATES_INTERVAL_MS: u64 = 250;

impl ControlLoop {
    /// Executes the effects that an owner decided on at the given time, on this node or through a
    /// delegate.
    pub(super) fn execute(
        &mut self,
        name: &str,
        token: u64,
        effects: Vec<Effect>,
        decided: Steady,
    ) {
        for effect in effects {
            match effect {
                Effect::Advise { step, workers, needs } => {
                    let send_event = self.event_sender(name, token);
                    let (advice_client, advice_slot) =
                        (self.advice_client.clone(), self.advice_slot.clone());
                    let node = self.node.clone();
                    tokio::spawn(async move {
                        let slot = advice_slot.acquire().await;
                        let sent = node.now().steady;
                        let end = match &advice_client {
                            Some(advice_client) => advice_client.ask(step, &workers, needs).await,
                            None => AdviceResult::Failed,
                        };
                        drop(slot);
                        send_event(Event::Advised { step, asked: workers, sent, end });
                    });
                }
                order => self.order(name, token, order, decided),
            }
        }
    }

    /// Returns a function that delivers an event to the owner.
    fn event_sender(&self, name: &str, token: u64) -> impl FnOnce(Event) + Send + 'static {
        let (inputs, name) = (self.inputs.clone(), name.to_owned());
        move |event| {
            // The receiver only ends with the process.
            let (queued, event) = (Instant::now(), Box::new(event));
            let _ = inputs.send(Input::OwnerEvent { name, token, queued, event });
        }
    }

    /// Returns a check of whether an order of this owner may still be sent. The process may be
    /// suspended between the decision and the send, and another node may become the owner
    /// meanwhile: after a suspension nothing is sent until the store has confirmed the owner again.
    pub(super) fn send_check(&self, name: &str) -> impl Fn() -> bool + Send + 'static {
        let tenure = self.owned.get(name).map(|owned| owned.tenure.clone());
        let node = self.node.clone();
        move || {
            let now = node.now().steady;
            let is_allowed = |tenure: &Tenure| {
                tenure.allows_orders(now) && !tenure.is_unconfirmed_since(node.clock.last_resumed())
            };
            tenure.as_ref().is_some_and(is_allowed)
        }
    }

    /// Counts an order as pending until the returned value is dropped.
    fn count_order(&self, name: &str, calling_node: CallingNode) -> Option<PendingOrder> {
        let order_counts = &self.owned.get(name)?.order_counts;
        Some(PendingOrder::new(order_counts, &self.node.metrics, calling_node))
    }

    /// Has an order carried out by the node that reaches its worker.
    fn order(&mut self, name: &str, token: u64, effect: Effect, decided: Steady) {
        let Some(target) = target_worker(&effect).map(|worker| self.target(worker)) else {
            return;
        };
        let usual = self.usual_caller(name, &target.worker);
        let view = self.node.view();
        let address = |node: &str| view.nodes.get(node).and_then(|node| node.value.peers);
        let is_open = |node: &str| address(node).is_some_and(|at| self.links.is_open(at));
        let caller = self.reach().choose(&target, &usual, is_open, decided);
        let address = match &caller {
            Caller::Own => None,
            Caller::Node(node) => address(node),
        };
        drop(view);
        if caller != usual {
            self.count_detour(&target);
        }
        match address {
            Some(address) => {
                self.delegate(address, name, token, effect, decided, (caller, target));
            }
            None => self.call_directly(name, token, effect, decided, target),
        }
    }

    /// Makes the call on this node.
    fn call_directly(&self, name: &str, token: u64, effect: Effect, sent: Steady, target: Target) {
        let (send_event, may_send) = (self.event_sender(name, token), self.send_check(name));
        let zone_allows = self.zone_check(name, &effect, sent);
        let worker_client = self.worker_client.clone();
        let metrics = self.node.metrics.clone();
        let pending = self.count_order(name, CallingNode::Own);
        let note_end = self.path_recorder(Caller::Own, target);
        let began = Instant::now();
        tokio::spawn(async move {
            let answer = match may_send() && zone_allows() {
                true => call(&worker_client, &effect).await,
                false => Answer::Order(OrderResult::Unsent),
            };
            metrics.record_order(order_kind(&effect), outcome(&answer), began.elapsed());
            if let Some(pending) = pending {
                pending.note_outcome(outcome(&answer));
            }
            note_end(path_end(&answer), outcome(&answer));
            if let Some(event) = call::result_event(effect, sent, answer) {
                send_event(event);
            }
        });
    }

    /// Has another node make the call, batched with all others for that node in this iteration.
    fn delegate(
        &mut self,
        address: SocketAddr,
        name: &str,
        token: u64,
        effect: Effect,
        sent: Steady,
        (caller, target): (Caller, Target),
    ) {
        let send_event = self.event_sender(name, token);
        let (metrics, kind) = (self.node.metrics.clone(), order_kind(&effect));
        let (pending, began) = (self.count_order(name, CallingNode::Other), Instant::now());
        let wait = call::own_wait(&effect);
        let note_end = self.path_recorder(caller, target);
        let finish = move |event: Event, end: PathEnd| {
            let took = began.elapsed();
            metrics.record_order(kind, event_outcome(&event), took);
            if let Some(pending) = pending {
                if end == PathEnd::Answered {
                    pending.note_delay(took.saturating_sub(wait));
                }
                pending.note_outcome(event_outcome(&event));
            }
            note_end(end, event_outcome(&event));
            send_event(event);
        };
        let (may_send, zone_allows) = (self.send_check(name), self.zone_check(name, &effect, sent));
        let may_send = Box::new(move || may_send() && zone_allows());
        let order = Outgoing { effect, sent, may_send, on_result: Box::new(finish) };
        self.outbox.entry(address).or_default().push(order);
    }

    /// Sends the orders of this iteration to the delegates.
    pub(super) fn flush_outbox(&mut self) {
        for (address, orders) in std::mem::take(&mut self.outbox) {
            self.links.send(address, orders);
        }
    }

    /// The node that calls a worker as long as it answers.
    fn usual_caller(&self, name: &str, worker: &Incarnation) -> Caller {
        let delegate = self.owned.get(name).and_then(|owned| owned.delegates.of(worker));
        delegate.map_or(Caller::Own, |node| Caller::Node(node.to_owned()))
    }

    /// Chooses the delegates and the workers that each of them calls.
    pub(super) fn choose_delegates(&mut self, now: Steady) {
        if now < self.next_delegates {
            return;
        }
        self.next_delegates = now.after(DELEGATES_INTERVAL_MS);
        self.refresh_reach(now);
        let candidates = self.delegate_candidates();
        let cpu = self.node.settings.cpu;
        let worker_count = self.owned.values().map(|owned| owned.owner.worker_count()).sum();
        for (name, owned) in &mut self.owned {
            if delegates::can_call_directly(worker_count, cpu) {
                owned.delegates.clear();
                continue;
            }
            owned.delegates.choose(name, &candidates, &owned.owner.worker_ids());
        }
        let mut nodes: Vec<String> =
            self.owned.values().flat_map(|owned| owned.delegates.nodes().cloned()).collect();
        nodes.extend(self.reach().nodes().into_iter().map(str::to_owned));
        let view = self.node.view();
        let addresses: Vec<SocketAddr> =
            nodes.iter().filter_map(|node| view.nodes.get(node)?.value.peers).collect();
        drop(view);
        self.links.keep_only(&addresses);
    }

    /// The nodes that may be delegates: those that own nothing and so have time, and to which orders
    /// can be sent.
    fn delegate_candidates(&self) -> Vec<String> {
        let view = self.node.view();
        let own_name = self.node.settings.node.as_str();
        let owns = |name: &str| view.owners.values().any(|owner| owner.value.node == name);
        let reach = self.reach();
        let is_open = |at: &NodeRecord| at.peers.is_some_and(|address| self.links.is_open(address));
        let others = view
            .nodes
            .iter()
            .filter(|(name, at)| *name != own_name && is_open(&at.value) && !owns(name))
            .filter(|(name, _)| !reach.is_cut(name));
        others.map(|(name, _)| name.clone()).collect()
    }
}

fn target_worker(effect: &Effect) -> Option<&Incarnation> {
    match effect {
        Effect::Start { to, .. }
        | Effect::Stop { to, .. }
        | Effect::Poll { to, .. }
        | Effect::Throttle { to, .. } => Some(&to.worker),
        Effect::Advise { .. } => None,
    }
}

fn order_kind(effect: &Effect) -> &'static str {
    match effect {
        Effect::Start { .. } => "start",
        Effect::Stop { .. } => "stop",
        Effect::Poll { .. } => "look",
        Effect::Throttle { .. } => "pace",
        Effect::Advise { .. } => "advise",
    }
}

fn outcome(answer: &Answer) -> &'static str {
    match answer {
        Answer::Order(end) => outcome_label(end),
        Answer::Poll(end) => outcome_label(end),
    }
}

/// The outcome of an order, from the event for its owner.
fn event_outcome(event: &Event) -> &'static str {
    match event {
        Event::Started { end, .. } | Event::Stopped { end, .. } | Event::Throttled { end, .. } => {
            outcome_label(end)
        }
        Event::Polled { end, .. } => outcome_label(end),
        _ => "done",
    }
}

fn outcome_label<T>(end: &OrderResult<T>) -> &'static str {
    match end {
        OrderResult::Done(_) => "done",
        OrderResult::Refused { .. } => "refused",
        OrderResult::Unknown => "unanswered",
        OrderResult::Unsent => "unsent",
    }
}
