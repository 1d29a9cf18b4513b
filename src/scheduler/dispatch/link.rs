//! The sending side of delegated orders: one link to each delegate.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::{FutureExt, SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config,
    tungstenite::{Bytes, Error as WsError, Message},
};

use super::{
    ORDERS_PATH,
    call::{self, result_event},
    serve::config,
    wire::{self, Answer, Answers, WorkerNumbering},
};
use crate::{
    jobs::{
        event::{Effect, Event},
        reach::PathEnd,
    },
    model::{unit::Steady, worker::OrderResult},
    platform::worker_client::ORDER_TIMEOUT,
    time_limit,
};

/// How long a link may take to open. Two crossings between zones take some 6 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a message may take to be written before the link counts as failed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// How much longer than the call itself an order may take through a delegate.
const DELEGATE_SLACK: Duration = Duration::from_millis(300);

/// How often a link is checked for overdue orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long after a check that finds orders overdue the next one follows, which gives them up.
const RECHECK_DELAY: Duration = Duration::from_millis(10);

/// How long before an order is overdue its delegate is asked for a sign of life, unless there was
/// one since the previous check.
const ASK_BEFORE: Duration = Duration::from_millis(400);

/// How long after its last sign of life a delegate counts as lost once orders are overdue; until
/// then it is late. As long as a start may take, so that a loss is noticed no later by orders that
/// were sent before it than by one that is sent then.
const SILENCE_LIMIT: Duration = ORDER_TIMEOUT.saturating_add(DELEGATE_SLACK);

/// How long an order may be overdue at a delegate that shows signs of life.
const LATE_LIMIT: Duration = RECEIVE_TIMEOUT;

/// How long a link with pending orders may receive nothing before it is closed: a connection can
/// hang for ever without a reset.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long nothing is sent over a link that failed or has overdue orders.
const BACKOFF: Duration = Duration::from_secs(1);

/// Receives the result of an order, and how the call by way of the delegate ended.
pub(crate) type OnResult = Box<dyn FnOnce(Event, PathEnd) + Send>;

/// An order that a delegate is to carry out.
pub(crate) struct Outgoing {
    pub(crate) effect: Effect,
    /// When it was decided.
    pub(crate) sent: Steady,
    /// Whether it may still be sent.
    pub(crate) may_send: Box<dyn Fn() -> bool + Send>,
    pub(crate) on_result: OnResult,
}

impl Outgoing {
    fn finish(self, answer: Answer) {
        let end = path_end(&answer);
        self.end(answer, end);
    }

    fn end(self, answer: Answer, end: PathEnd) {
        let Outgoing { effect, sent, on_result, .. } = self;
        if let Some(event) = result_event(effect, sent, answer) {
            on_result(event, end);
        }
    }

    /// Ends it without an answer of the delegate, which may have carried it out. For a poll it
    /// matters only that no answer came, so it counts as unsent.
    fn give_up(self) {
        let is_poll = matches!(self.effect, Effect::Poll { .. });
        let answer = if is_poll { OrderResult::Unsent } else { OrderResult::Unknown };
        self.end(Answer::Order(answer), PathEnd::LinkFailed);
    }

    /// Ends it because no link could be opened.
    fn fail_unsent(self) {
        self.end(Answer::Order(OrderResult::Unsent), PathEnd::LinkFailed);
    }

    fn time_limit(&self) -> Duration {
        call::time_limit(&self.effect) + DELEGATE_SLACK
    }
}

/// How a call ended, by its result.
pub(crate) fn path_end(answer: &Answer) -> PathEnd {
    fn of<T>(result: &OrderResult<T>) -> PathEnd {
        match result {
            OrderResult::Done(_) | OrderResult::Refused { .. } => PathEnd::Answered,
            OrderResult::Unknown => PathEnd::Unanswered,
            OrderResult::Unsent => PathEnd::Unsent,
        }
    }
    match answer {
        Answer::Order(result) => of(result),
        Answer::Poll(result) => of(result),
    }
}

/// The sender's handle of a link.
struct Link {
    orders: mpsc::UnboundedSender<Vec<Outgoing>>,
    backing_off: Arc<AtomicBool>,
}

/// The links of an owner's node to its delegates.
#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<SocketAddr, Link>,
}

impl Links {
    /// Whether orders can be sent to a node now.
    pub(crate) fn is_open(&self, address: SocketAddr) -> bool {
        self.links.get(&address).is_none_or(|link| !link.backing_off.load(Ordering::Acquire))
    }

    /// The number of nodes that get no orders for now.
    pub(crate) fn backing_off(&self) -> usize {
        self.links.keys().filter(|address| !self.is_open(**address)).count()
    }

    /// Sends orders to a node. A link is opened when it is first needed.
    pub(crate) fn send(&mut self, address: SocketAddr, orders: Vec<Outgoing>) {
        let link = self.links.entry(address).or_insert_with(|| open(address));
        if let Err(unsent) = link.orders.send(orders) {
            unsent.0.into_iter().for_each(|order| order.finish(Answer::Order(OrderResult::Unsent)));
        }
    }

    /// Closes the links to all other nodes, once their pending orders have ended. One that is not
    /// used for a while is kept until then: it tells that its node is no delegate.
    pub(crate) fn keep_only(&mut self, addresses: &[SocketAddr]) {
        let backs_off = |link: &Link| link.backing_off.load(Ordering::Acquire);
        self.links.retain(|address, link| addresses.contains(address) || backs_off(link));
    }
}

fn open(address: SocketAddr) -> Link {
    let (sender, orders) = mpsc::unbounded_channel();
    let backing_off = Arc::new(AtomicBool::new(false));
    tokio::spawn(maintain(address, orders, backing_off.clone()));
    Link { orders: sender, backing_off }
}

/// Maintains a link until its handle is dropped.
async fn maintain(
    address: SocketAddr,
    mut orders: mpsc::UnboundedReceiver<Vec<Outgoing>>,
    backing_off: Arc<AtomicBool>,
) {
    while let Some(first) = orders.recv().await {
        let error = match dial(address).await {
            Ok(link) => {
                let mut session = Session::new(address, backing_off.clone());
                let ended = session.run(link, first, &mut orders).await;
                session.give_up_all();
                match ended {
                    Ok(()) => return,
                    Err(error) => error,
                }
            }
            Err(error) => {
                first.into_iter().for_each(Outgoing::fail_unsent);
                error
            }
        };
        log::info!("orders: link to {address}: {error}");
        backing_off.store(true, Ordering::Release);
        let backoff = tokio::time::sleep(BACKOFF);
        tokio::pin!(backoff);
        loop {
            tokio::select! {
                () = &mut backoff => break,
                more = orders.recv() => {
                    let Some(more) = more else { return };
                    more.into_iter().for_each(|order| order.finish(Answer::Order(OrderResult::Unsent)));
                }
            }
        }
        backing_off.store(false, Ordering::Release);
    }
}

async fn dial(address: SocketAddr) -> eyre::Result<WebSocketStream<TcpStream>> {
    let opened = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}{ORDERS_PATH}");
        let (link, _) = client_async_with_config(url, stream, Some(config())).await?;
        eyre::Ok(link)
    };
    let link = time_limit::within(CONNECT_TIMEOUT, opened).await;
    link.unwrap_or_else(|| Err(eyre::eyre!("not open after {CONNECT_TIMEOUT:?}")))
}

/// An open link and its pending orders.
struct Session {
    address: SocketAddr,
    backing_off: Arc<AtomicBool>,
    numbering: WorkerNumbering,
    next: u32,
    pending: HashMap<u32, (Outgoing, Instant)>,
    last_received: Instant,
    /// Whether the delegate was asked for a sign of life since then.
    asked: bool,
    /// Until when the delegate gets no more orders, because some were overdue.
    backoff_until: Option<Instant>,
    /// The time of the last check.
    last_check: Instant,
}

impl Session {
    fn new(address: SocketAddr, backing_off: Arc<AtomicBool>) -> Session {
        let now = Instant::now();
        Session {
            address,
            backing_off,
            numbering: WorkerNumbering::default(),
            next: 0,
            pending: HashMap::new(),
            last_received: now,
            asked: false,
            backoff_until: None,
            last_check: now,
        }
    }

    async fn run(
        &mut self,
        link: WebSocketStream<TcpStream>,
        first: Vec<Outgoing>,
        orders: &mut mpsc::UnboundedReceiver<Vec<Outgoing>>,
    ) -> eyre::Result<()> {
        let (mut sink, mut stream) = link.split();
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut next = Some(first);
        let mut open = true;
        while open || !self.pending.is_empty() {
            if let Some(mut batch) = next.take() {
                while let Ok(more) = orders.try_recv() {
                    batch.extend(more);
                }
                let bytes = self.encode(batch)?;
                timeout(WRITE_TIMEOUT, sink.send(Message::binary(bytes))).await??;
            }
            tokio::select! {
                batch = orders.recv(), if open => {
                    open = batch.is_some();
                    next = batch;
                }
                message = stream.next() => self.receive(message)?,
                _ = check.tick() => {
                    // What has arrived counts, even if this process was paused until it was overdue.
                    while let Some(message) = stream.next().now_or_never() {
                        self.receive(message)?;
                    }
                    let now = Instant::now();
                    if self.check(now)? {
                        check.reset_after(RECHECK_DELAY);
                    }
                    if self.should_ask(now) {
                        let question = Message::Ping(Bytes::new());
                        timeout(WRITE_TIMEOUT, sink.send(question)).await??;
                        self.asked = true;
                    }
                }
            }
        }
        Ok(())
    }

    /// Handles a message of the delegate; `None` if it has closed the link.
    fn receive(&mut self, message: Option<Result<Message, WsError>>) -> eyre::Result<()> {
        let message = message.ok_or_else(|| eyre::eyre!("closed by the other side"))??;
        self.last_received = Instant::now();
        self.asked = false;
        if let Message::Binary(bytes) = message {
            self.handle_answers(ciborium::from_reader(&bytes[..])?);
        }
        Ok(())
    }

    /// Records a batch as pending and encodes it, without orders that may no longer be sent: an
    /// ownership may have ended while the link was opened or the previous message was written.
    fn encode(&mut self, batch: Vec<Outgoing>) -> eyre::Result<Vec<u8>> {
        let now = Instant::now();
        let (batch, expired): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|one| (one.may_send)());
        expired.into_iter().for_each(|order| order.finish(Answer::Order(OrderResult::Unsent)));
        if self.pending.is_empty() {
            self.last_received = now;
            self.asked = false;
        }
        let first = self.next;
        self.next = first.wrapping_add(batch.len() as u32);
        let numbered = || (0u32..).map(|n| first.wrapping_add(n));
        let effects = batch.iter().map(|order| &order.effect);
        let wire = wire::batch(&mut self.numbering, numbered().zip(effects));
        for (number, order) in numbered().zip(batch) {
            let due = now + order.time_limit();
            self.pending.insert(number, (order, due));
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(&wire, &mut bytes)?;
        Ok(bytes)
    }

    fn handle_answers(&mut self, answers: Answers) {
        for (number, answer) in wire::read_answers(answers) {
            // Overdue orders were given up already.
            if let Some((order, _)) = self.pending.remove(&number) {
                order.finish(answer);
            }
        }
    }

    /// Whether the delegate is to be asked for a sign of life. It may be late, and answers that in
    /// its next turn, before the calls that it makes.
    fn should_ask(&self, now: Instant) -> bool {
        let is_silent = CHECK_INTERVAL <= now.saturating_duration_since(self.last_received);
        let is_late = |(_, due): &(Outgoing, Instant)| *due <= now + ASK_BEFORE;
        !self.asked && is_silent && self.pending.values().any(is_late)
    }

    /// Whether an order has to be given up: it is overdue, and its delegate has shown no sign of life
    /// for a while, or the order is overdue for long.
    fn is_lost(&self, due: Instant, at: Instant) -> bool {
        let is_silent = SILENCE_LIMIT <= at.saturating_duration_since(self.last_received);
        due <= at && (is_silent || due + LATE_LIMIT <= at)
    }

    /// Gives up the orders that were lost at the previous check already, and if there are any sends
    /// the delegate nothing more for [`BACKOFF`]. Returns whether others are lost now.
    ///
    /// An answer may be in the socket's buffer before the runtime reports the socket as readable, so
    /// that a read finds nothing. The timer of the next check fires only after the runtime has
    /// polled all sockets again, and the answer is read before that check.
    fn check(&mut self, now: Instant) -> eyre::Result<bool> {
        let as_of = std::mem::replace(&mut self.last_check, now);
        let number_if_lost = |(number, (_, due)): (&u32, &(Outgoing, Instant))| {
            self.is_lost(*due, as_of).then_some(*number)
        };
        let lost: Vec<u32> = self.pending.iter().filter_map(number_if_lost).collect();
        if !lost.is_empty() {
            log::info!("orders: {} without an answer from {}", lost.len(), self.address);
            self.backoff_until = Some(now + BACKOFF);
            self.backing_off.store(true, Ordering::Release);
        } else if self.backoff_until.is_some_and(|until| until <= now) {
            self.backoff_until = None;
            self.backing_off.store(false, Ordering::Release);
        }
        for number in lost {
            if let Some((order, _)) = self.pending.remove(&number) {
                order.give_up();
            }
        }
        let is_silent =
            |at: Instant| RECEIVE_TIMEOUT < at.saturating_duration_since(self.last_received);
        if !self.pending.is_empty() && is_silent(as_of) {
            eyre::bail!("nothing received with {} orders pending", self.pending.len());
        }
        Ok(self.pending.values().any(|(_, due)| self.is_lost(*due, now)))
    }

    fn give_up_all(&mut self) {
        self.pending.drain().for_each(|(_, (order, _))| order.give_up());
    }
}
