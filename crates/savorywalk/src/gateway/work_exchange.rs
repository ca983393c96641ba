use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, PoisonError};

use prost::Message;
use tokio::sync::mpsc;

use super::gateway_node::{GatewayNode, GatewayView};
use super::piece_board::{BoardKey, PieceVerdict};
use super::stable_hash::stable_hash;
use super::stage_order::{MadeStage, StageOrder, StageStop};
use super::{PieceBacklog, PieceTask, ResultHandle};
use crate::generated::work::{PoolBacklog, ReleaseNotice, StageCall, StageEnd, StageReply};
use crate::prelude::*;
use crate::transport::{CallRefusal, InboundCall, LinkChannel, LinkClass, LinkHub, PeerName};

/// Members of a pool up to which one entry gathers for all of it. Larger pools
/// are split by data centre, so that no entry has to gather for more than a
/// sixteenth of a core can carry.
const WHOLE_POOL: usize = 6;

/// Time for which an entry that did not answer is passed over; by then the
/// registry has told whether it is gone.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Pause between questions whether an entry that is passed over answers.
const PROBE_PAUSE: Duration = Duration::from_millis(200);

/// Time for the answer to such a question: many round trips in a region.
const PROBE_TIME: Duration = Duration::from_millis(300);

/// Age from which on what a gatherer said of its backlog tells nothing.
const BACKLOG_AGE: Duration = Duration::from_millis(1_500);

/// Time beyond a stage's deadline in which its gatherer tells that it is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Entries tried for one stage before this one gathers for itself alone.
const MAX_GATHERERS: usize = 2;

impl StageOrder {
    fn key(&self, view: &GatewayView) -> BoardKey {
        key_for(view, &self.pool, &self.request_id, self.near.as_deref())
    }
}

/// Sends the pieces of all entries for one pool to one of them, which fills
/// calls with them. A call takes nearly as long for one piece as for ten, so
/// entries that call on their own use up the pool with calls that are nearly
/// empty, and learn of each other only by being refused.
#[derive(Debug)]
pub(super) struct WorkExchange {
    hub: LinkHub,
    avoided: Mutex<FastMap<PeerName, Instant>>,
    backlogs: Mutex<FastMap<BoardKey, KnownBacklog>>,
}

/// What a gatherer last said of its backlog.
#[derive(Clone, Debug)]
struct KnownBacklog {
    told: Instant,
    backlog: PieceBacklog,
}

impl WorkExchange {
    pub(super) fn new(hub: LinkHub) -> Self {
        Self {
            hub,
            avoided: Mutex::default(),
            backlogs: Mutex::default(),
        }
    }

    fn note_backlog(&self, key: &BoardKey, backlog: PieceBacklog) {
        let told = Instant::now();
        let mut backlogs = self.backlogs.lock().unwrap_or_else(PoisonError::into_inner);
        backlogs.insert(key.clone(), KnownBacklog { told, backlog });
    }

    /// Counts pieces that this entry is about to send to a pool, until its
    /// gatherer has told how things stand again.
    pub(super) fn expect(&self, node: &GatewayNode, pool: &str, request_id: &str, more: (u8, u32)) {
        let key = key_for(&node.view.load(), pool, request_id, None);
        let mut backlogs = self.backlogs.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = backlogs.get_mut(&key) {
            known.backlog.add(more.0, more.1);
        }
    }

    /// What waits for a pool, as far as known: at this entry as it
    /// is, at others as they said a moment ago.
    pub(super) fn backlog(
        &self,
        node: &Arc<GatewayNode>,
        pool: &str,
        request_id: &str,
        near: Option<&str>,
    ) -> PieceBacklog {
        let view = node.view.load_full();
        let key = key_for(&view, pool, request_id, near);
        if self.gatherer(&view, &key).is_none() {
            return node.board(&key).backlog();
        }
        let backlogs = self.backlogs.lock().unwrap_or_else(PoisonError::into_inner);
        let known = backlogs.get(&key);
        let fresh = known.filter(|known| known.told.elapsed() < BACKLOG_AGE);
        fresh.map(|known| known.backlog.clone()).unwrap_or_default()
    }

    /// Has a stage worked on, by the entry that gathers for its pool.
    pub(super) async fn work_on(
        &self,
        node: &Arc<GatewayNode>,
        order: StageOrder,
    ) -> Result<MadeStage, StageStop> {
        for _ in 0..MAX_GATHERERS {
            let view = node.view.load_full();
            let key = order.key(&view);
            let Some(gatherer) = self.gatherer(&view, &key) else {
                break;
            };
            match self.ask(&gatherer, &key, &order).await {
                Ok(outcome) => return outcome.map(|handles| MadeStage { key, handles }),
                Err(reason) => {
                    log_event!(
                        info,
                        "gatherer_lost",
                        request = order.request_id,
                        pool = key.pool,
                        gatherer = gatherer,
                        reason = reason
                    );
                    self.avoid(node, gatherer);
                }
            }
        }
        let key = order.key(&node.view.load());
        let handles = work_here(node, &key, order).await?;
        Ok(MadeStage { key, handles })
    }

    /// Tells the entry that gathers for `key` that results are given up; false
    /// when that is this one, or when it can't be told.
    pub(super) fn tell_released(
        &self,
        node: &GatewayNode,
        key: &BoardKey,
        handles: &[ResultHandle],
    ) -> bool {
        let view = node.view.load_full();
        let Some(gatherer) = self.gatherer(&view, key) else {
            return false;
        };
        let notice = ReleaseNotice {
            pool: key.pool.clone(),
            shard: key.shard.clone().unwrap_or_default(),
            handles: handles.iter().map(|handle| handle.0.to_string()).collect(),
        };
        let payload = notice.encode_to_vec().into();
        let sent = self.hub.send_as(
            gatherer.as_str(),
            LinkChannel::Work,
            LinkClass::Notice,
            payload,
        );
        sent.is_ok()
    }

    /// The entry that gathers for `key`; `None` when it is this one.
    fn gatherer(&self, view: &GatewayView, key: &BoardKey) -> Option<PeerName> {
        let now = Instant::now();
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.retain(|_, until| now < *until);
        let usable = view.entries.iter();
        let usable = usable.filter(|entry| !avoided.contains_key(*entry));
        let chosen = usable.max_by_key(|entry| ranking(key, entry))?;
        (chosen != self.hub.name()).then(|| chosen.clone())
    }

    /// Passes an entry over until it answers again. Entries that gather in two
    /// places for one pool get in each other's way, so this should not last.
    fn avoid(&self, node: &Arc<GatewayNode>, entry: PeerName) {
        let until = Instant::now() + AVOID_TIME;
        let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        let is_news = avoided.insert(entry.clone(), until).is_none();
        drop(avoided);
        if is_news {
            let node = Arc::clone(node);
            tokio::spawn(async move { node.exchange.probe(&entry).await });
        }
    }

    /// Asks an entry that is passed over for nothing until it answers.
    async fn probe(&self, entry: &PeerName) {
        let nothing = Bytes::from(StageCall::default().encode_to_vec());
        loop {
            tokio::time::sleep(PROBE_PAUSE).await;
            let is_avoided = {
                let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
                avoided.contains_key(entry)
            };
            if !is_avoided {
                return;
            }
            let channel = LinkChannel::Work;
            let name = entry.as_str();
            let answer = self.hub.call(name, channel, nothing.clone(), PROBE_TIME);
            if answer.await.is_ok() {
                log_event!(info, "gatherer_back", gatherer = entry);
                let mut avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
                avoided.remove(entry);
                return;
            }
        }
    }

    async fn ask(
        &self,
        gatherer: &PeerName,
        key: &BoardKey,
        order: &StageOrder,
    ) -> Result<Result<Arc<[ResultHandle]>, StageStop>, String> {
        let now = Instant::now();
        let left = order.deadline.saturating_duration_since(now);
        let call = order.to_call(now, key);
        let payload = call.encode_to_vec().into();
        let channel = LinkChannel::Work;
        let answer = self
            .hub
            .call(gatherer.as_str(), channel, payload, left + ANSWER_MARGIN);
        let answer = answer.await.map_err(|error| error.to_string())?;
        let reply = StageReply::decode(answer).map_err(|error| error.to_string())?;
        if let Some(backlog) = &reply.backlog {
            self.note_backlog(key, backlog_of(backlog));
        }
        match reply.end() {
            StageEnd::Made if reply.handles.len() == order.pieces as usize => {
                let handles = reply.handles.into_iter();
                Ok(Ok(handles
                    .map(|handle| ResultHandle(handle.into()))
                    .collect()))
            }
            StageEnd::Made | StageEnd::Unspecified => Err("an answer that can't be read".into()),
            StageEnd::Late => Ok(Err(StageStop::Late)),
            StageEnd::Overload => Ok(Err(StageStop::Overload)),
            StageEnd::InputGone => Ok(Err(StageStop::InputGone)),
            StageEnd::Failed => Ok(Err(StageStop::Failed)),
        }
    }
}

/// Gathers for other entries until the hub closes.
pub(super) async fn serve(node: Arc<GatewayNode>, mut calls: mpsc::Receiver<InboundCall>) {
    while let Some(inbound) = calls.recv().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move { serve_call(&node, inbound).await });
    }
}

async fn serve_call(node: &Arc<GatewayNode>, inbound: InboundCall) {
    let InboundCall {
        payload, mut reply, ..
    } = inbound;
    let Ok(call) = StageCall::decode(payload) else {
        reply.refuse(CallRefusal::Malformed);
        return;
    };
    if call.pieces == 0 {
        reply.answer(StageReply::default().encode_to_vec().into());
        return;
    }
    let (key, order) = StageOrder::from_call(Instant::now(), call);
    let outcome = tokio::select! {
        outcome = work_here(node, &key, order) => outcome,
        () = reply.abandoned() => return,
    };
    let handles = match &outcome {
        Ok(handles) => handles.iter().map(|handle| handle.0.to_string()).collect(),
        Err(_) => Vec::new(),
    };
    let end = match &outcome {
        Ok(_) => StageEnd::Made,
        Err(StageStop::Late) => StageEnd::Late,
        Err(StageStop::Overload) => StageEnd::Overload,
        Err(StageStop::InputGone) => StageEnd::InputGone,
        Err(StageStop::Failed) => StageEnd::Failed,
    };
    let backlog = node.board(&key).backlog();
    let answer = StageReply {
        end: end.into(),
        handles,
        backlog: Some(PoolBacklog {
            timely: backlog.timely,
            late: backlog.late,
            pieces_per_second: backlog.pieces_per_second,
            late_per_second: backlog.late_per_second,
        }),
    };
    let is_told = reply.answer(answer.encode_to_vec().into());
    if let (false, Ok(handles)) = (is_told, outcome) {
        for handle in handles.iter() {
            node.releases.release(key.clone(), handle.clone());
        }
    }
}

/// Works on a stage with the pieces that have been gathered here.
async fn work_here(
    node: &Arc<GatewayNode>,
    key: &BoardKey,
    order: StageOrder,
) -> Result<Arc<[ResultHandle]>, StageStop> {
    let pieces = order.pieces;
    let task = PieceTask {
        request_id: order.request_id,
        stage: order.stage,
        rank: order.rank,
        due: order.due,
        deadline: order.deadline,
        tail: order.tail,
        source: order.source,
        result_bytes: order.result_bytes,
        near: order.near,
        abandoned: AtomicBool::new(false),
        begun: AtomicBool::new(false),
    };
    let mut batch = node.board(key).submit(task, pieces);
    let mut made = MadePieces {
        node,
        key,
        handles: BTreeMap::new(),
    };
    while made.handles.len() < pieces as usize {
        let Some(news) = batch.news.recv().await else {
            return Err(StageStop::Failed);
        };
        match news.verdict {
            PieceVerdict::Made(handle) => drop(made.handles.insert(news.piece, handle)),
            PieceVerdict::Late => return Err(StageStop::Late),
            PieceVerdict::Overload => return Err(StageStop::Overload),
            PieceVerdict::InputGone => return Err(StageStop::InputGone),
            PieceVerdict::Failed => return Err(StageStop::Failed),
        }
    }
    Ok(made.take())
}

/// Results of a stage that is not complete; given up when this is dropped.
struct MadePieces<'a> {
    node: &'a GatewayNode,
    key: &'a BoardKey,
    handles: BTreeMap<u32, ResultHandle>,
}

impl MadePieces<'_> {
    fn take(mut self) -> Arc<[ResultHandle]> {
        std::mem::take(&mut self.handles).into_values().collect()
    }
}

impl Drop for MadePieces<'_> {
    fn drop(&mut self) {
        for handle in std::mem::take(&mut self.handles).into_values() {
            self.node.releases.release(self.key.clone(), handle);
        }
    }
}

/// Where the pieces of a stage gather: a small pool in one place, a large one
/// in a place for each data centre.
fn key_for(view: &GatewayView, pool: &str, request_id: &str, near: Option<&str>) -> BoardKey {
    let members = view.roster.pool(pool);
    let whole = BoardKey {
        pool: pool.to_string(),
        shard: None,
    };
    if members.len() <= WHOLE_POOL {
        return whole;
    }
    let live = members.iter().filter(|member| !member.is_silent);
    let centers: Vec<&str> = live.map(|member| member.data_center()).collect();
    let near = near.filter(|near| centers.contains(near));
    // A draw among members, not among data centres, follows their sizes.
    let drawn = || {
        let draw = stable_hash(&[request_id.as_bytes()]) as usize;
        let place = draw.checked_rem(centers.len())?;
        centers.get(place).copied()
    };
    BoardKey {
        shard: near.or_else(drawn).map(String::from),
        ..whole
    }
}

fn backlog_of(backlog: &PoolBacklog) -> PieceBacklog {
    PieceBacklog {
        timely: backlog.timely.clone(),
        late: backlog.late,
        pieces_per_second: backlog.pieces_per_second,
        late_per_second: backlog.late_per_second,
    }
}

fn ranking(key: &BoardKey, entry: &PeerName) -> u64 {
    let shard = key.shard.as_deref().unwrap_or_default();
    stable_hash(&[
        key.pool.as_bytes(),
        shard.as_bytes(),
        entry.as_str().as_bytes(),
    ])
}

#[cfg(test)]
#[path = "work_exchange_tests.rs"]
mod tests;
