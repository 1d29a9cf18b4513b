//! The side that gives orders: one link to each node that carries some out.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, timeout},
};
use tokio_tungstenite::{WebSocketStream, client_async_with_config, tungstenite::Message};

use super::{
    PATH,
    call::event,
    serve::config,
    wire::{self, Answer, Answers, Namer},
};
use crate::{
    jobs::event::{Effect, Event},
    model::{unit::Steady, worker::OrderEnd},
    platform::runner::{LOOK_SLACK, ORDER_LIMIT},
};

/// How long a link may take to open. Two crossings between zones take some 6 ms.
const DIAL_LIMIT: Duration = Duration::from_millis(500);

/// How long a message may take to be written before the link counts as lost.
const WRITE_LIMIT: Duration = Duration::from_millis(500);

/// How much longer than the call itself an order may take by way of another node.
const DETOUR_SLACK: Duration = Duration::from_millis(300);

/// How often links are checked for orders that are overdue.
const CHECK: Duration = Duration::from_millis(100);

/// How long a link that has orders on their way may be silent before it is closed: a connection can
/// go silent for good without a reset.
const SILENCE: Duration = Duration::from_millis(1_500);

/// How long nothing is sent over a link that failed or whose node is late.
const REST: Duration = Duration::from_secs(1);

/// Told what became of an order, and whether the other node had no answer from the worker.
pub(crate) type Tell = Box<dyn FnOnce(Event, bool) + Send>;

/// An order that another node is to carry out.
pub(crate) struct Outgoing {
    pub(crate) effect: Effect,
    /// When it was decided on.
    pub(crate) sent: Steady,
    /// Whether it may still be sent.
    pub(crate) may_go: Box<dyn Fn() -> bool + Send>,
    pub(crate) tell: Tell,
}

impl Outgoing {
    fn end(self, answer: Answer) {
        let unanswered = answer == Answer::End(OrderEnd::Unknown);
        let Outgoing { effect, sent, tell, .. } = self;
        if let Some(event) = event(effect, sent, answer) {
            tell(event, unanswered);
        }
    }

    /// Ends it without word of the other node, which may have carried it out. Of a look it matters
    /// only that nothing was heard.
    fn lose(self) {
        let is_look = matches!(self.effect, Effect::Look { .. });
        self.end(Answer::End(if is_look { OrderEnd::Unsent } else { OrderEnd::Unknown }));
    }

    fn limit(&self) -> Duration {
        let call = match &self.effect {
            Effect::Look { wait, .. } => *wait + LOOK_SLACK,
            _ => ORDER_LIMIT,
        };
        call + DETOUR_SLACK
    }
}

/// A link, as those see it that send over it.
struct Link {
    to: mpsc::UnboundedSender<Vec<Outgoing>>,
    resting: Arc<AtomicBool>,
}

/// The links of an owner's node.
#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<SocketAddr, Link>,
}

impl Links {
    /// Whether orders can go to a node now.
    pub(crate) fn is_open(&self, address: SocketAddr) -> bool {
        self.links.get(&address).is_none_or(|link| !link.resting.load(Ordering::Acquire))
    }

    /// Has a node carry out orders. Links are opened when they are first needed.
    pub(crate) fn send(&mut self, address: SocketAddr, orders: Vec<Outgoing>) {
        let link = self.links.entry(address).or_insert_with(|| open(address));
        if let Err(unsent) = link.to.send(orders) {
            unsent.0.into_iter().for_each(|order| order.end(Answer::End(OrderEnd::Unsent)));
        }
    }

    /// Closes the links to nodes that are not among these, once their orders have ended.
    pub(crate) fn keep_only(&mut self, addresses: &[SocketAddr]) {
        self.links.retain(|address, _| addresses.contains(address));
    }
}

fn open(address: SocketAddr) -> Link {
    let (to, orders) = mpsc::unbounded_channel();
    let resting = Arc::new(AtomicBool::new(false));
    tokio::spawn(keep(address, orders, resting.clone()));
    Link { to, resting }
}

/// Keeps a link for as long as somebody may send over it.
async fn keep(
    address: SocketAddr,
    mut orders: mpsc::UnboundedReceiver<Vec<Outgoing>>,
    resting: Arc<AtomicBool>,
) {
    while let Some(first) = orders.recv().await {
        let error = match dial(address).await {
            Ok(link) => {
                let mut talk = Talk::new(address, resting.clone());
                let ended = talk.run(link, first, &mut orders).await;
                talk.lose_all();
                match ended {
                    Ok(()) => return,
                    Err(error) => error,
                }
            }
            Err(error) => {
                first.into_iter().for_each(|order| order.end(Answer::End(OrderEnd::Unsent)));
                error
            }
        };
        log::info!("orders: link to {address}: {error}");
        resting.store(true, Ordering::Release);
        let rested = tokio::time::sleep(REST);
        tokio::pin!(rested);
        loop {
            tokio::select! {
                () = &mut rested => break,
                more = orders.recv() => {
                    let Some(more) = more else { return };
                    more.into_iter().for_each(|order| order.end(Answer::End(OrderEnd::Unsent)));
                }
            }
        }
        resting.store(false, Ordering::Release);
    }
}

async fn dial(address: SocketAddr) -> eyre::Result<WebSocketStream<TcpStream>> {
    let opened = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}{PATH}");
        let (link, _) = client_async_with_config(url, stream, Some(config())).await?;
        eyre::Ok(link)
    };
    timeout(DIAL_LIMIT, opened).await?
}

/// What is on its way over an open link.
struct Talk {
    address: SocketAddr,
    resting: Arc<AtomicBool>,
    namer: Namer,
    next: u32,
    pending: HashMap<u32, (Outgoing, Instant)>,
    heard: Instant,
    /// Until when the other node is late, and gets no more.
    late_until: Option<Instant>,
}

impl Talk {
    fn new(address: SocketAddr, resting: Arc<AtomicBool>) -> Talk {
        Talk {
            address,
            resting,
            namer: Namer::default(),
            next: 0,
            pending: HashMap::new(),
            heard: Instant::now(),
            late_until: None,
        }
    }

    async fn run(
        &mut self,
        link: WebSocketStream<TcpStream>,
        first: Vec<Outgoing>,
        orders: &mut mpsc::UnboundedReceiver<Vec<Outgoing>>,
    ) -> eyre::Result<()> {
        let (mut sink, mut stream) = link.split();
        let mut check = interval(CHECK);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next = Some(first);
        let mut open = true;
        while open || !self.pending.is_empty() {
            if let Some(mut batch) = next.take() {
                while let Ok(more) = orders.try_recv() {
                    batch.extend(more);
                }
                let bytes = self.note(batch)?;
                timeout(WRITE_LIMIT, sink.send(Message::binary(bytes))).await??;
            }
            tokio::select! {
                batch = orders.recv(), if open => {
                    open = batch.is_some();
                    next = batch;
                }
                message = stream.next() => {
                    let message = message.ok_or_else(|| eyre::eyre!("closed by the other side"))?;
                    if let Message::Binary(bytes) = message? {
                        self.take_in(ciborium::from_reader(&bytes[..])?);
                    }
                }
                _ = check.tick() => self.check()?,
            }
        }
        Ok(())
    }

    /// Notes what is sent, and how it is written. While the link was opened, or the message before
    /// was written, an ownership may have come to its end.
    fn note(&mut self, batch: Vec<Outgoing>) -> eyre::Result<Vec<u8>> {
        let now = Instant::now();
        let (batch, over): (Vec<_>, Vec<_>) = batch.into_iter().partition(|one| (one.may_go)());
        over.into_iter().for_each(|order| order.end(Answer::End(OrderEnd::Unsent)));
        if self.pending.is_empty() {
            self.heard = now;
        }
        let first = self.next;
        self.next = first.wrapping_add(batch.len() as u32);
        let numbered = || (0u32..).map(|n| first.wrapping_add(n));
        let effects = batch.iter().map(|order| &order.effect);
        let wire = wire::batch(&mut self.namer, numbered().zip(effects));
        for (number, order) in numbered().zip(batch) {
            let due = now + order.limit();
            self.pending.insert(number, (order, due));
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&wire, &mut bytes)?;
        Ok(bytes)
    }

    fn take_in(&mut self, answers: Answers) {
        self.heard = Instant::now();
        for (number, answer) in wire::read_answers(answers) {
            // One that came too late was told as lost.
            if let Some((order, _)) = self.pending.remove(&number) {
                order.end(answer);
            }
        }
    }

    /// Gives up what is overdue, and leaves a node that is late alone for a while.
    fn check(&mut self) -> eyre::Result<()> {
        let now = Instant::now();
        let overdue =
            |(number, (_, due)): (&u32, &(Outgoing, Instant))| (*due <= now).then_some(*number);
        let late: Vec<u32> = self.pending.iter().filter_map(overdue).collect();
        if !late.is_empty() {
            log::info!("orders: {} without word from {}", late.len(), self.address);
            self.late_until = Some(now + REST);
            self.resting.store(true, Ordering::Release);
        } else if self.late_until.is_some_and(|until| until <= now) {
            self.late_until = None;
            self.resting.store(false, Ordering::Release);
        }
        for number in late {
            if let Some((order, _)) = self.pending.remove(&number) {
                order.lose();
            }
        }
        if !self.pending.is_empty() && SILENCE < now - self.heard {
            eyre::bail!("silent with {} orders on their way", self.pending.len());
        }
        Ok(())
    }

    fn lose_all(&mut self) {
        self.pending.drain().for_each(|(_, (order, _))| order.lose());
    }
}
