use super::{FoundOrigin, OriginGuard, StreamKey, StreamOrigin, StreamQuestion};
use crate::gateway::forward_run::ForwardRun;
use crate::gateway::gateway_view::GatewayView;
use crate::gateway::{GatewayRefusal, NotRunReason, PoolMember, RouteKind};
use crate::prelude::*;

/// Longest time that a caller waits for a stream over all its tries, in percent of the route's
/// timeout, which the operator sets by what callers wait.
const MAX_WAIT_PERCENT: u32 = 125;

/// The origin of the request's stream, which restricts the endpoints that may continue it.
impl ForwardRun {
    fn is_resumable(&self) -> bool {
        self.context.route.kind == RouteKind::Stream { resumable: true }
    }

    /// Whether an endpoint may continue the stream, or begin it.
    pub(in crate::gateway) fn may_continue_at(&self, member: &PoolMember) -> bool {
        let origin = self.origin.as_ref();
        origin.is_none_or(|origin| origin.admits(member))
    }

    /// Whether any endpoint may continue the stream, available or not.
    pub(in crate::gateway) fn has_origin_endpoint(&self, view: &GatewayView) -> bool {
        let mut members = view.roster.pool(&self.context.pool).iter();
        self.origin.is_none() || members.any(|member| self.may_continue_at(member))
    }

    /// Finds the origin of a stream that the caller takes up, and refuses the request if it is
    /// unknown or no endpoint of it is left.
    pub(in crate::gateway) async fn find_origin(&mut self) -> Result<(), GatewayRefusal> {
        if !self.is_resumable() || self.context.head.last_event.is_none() {
            return Ok(());
        }
        let found = self.look_up_origin().await;
        self.record_taken_up(found.as_ref());
        let origin = match found {
            Some(FoundOrigin::Held(origin) | FoundOrigin::OnlyVersion(origin)) => origin,
            None => return Err(self.refuse(NotRunReason::UnknownStream)),
        };
        let mut shares = self.context.route.shares.iter();
        if !shares.any(|share| share.pool == origin.pool) {
            return Err(self.refuse(NotRunReason::StreamMoved));
        }
        self.context.pool = origin.pool.clone();
        self.origin = Some(origin);
        let view = self.node.view.load_full();
        match self.has_origin_endpoint(&view) {
            true => Ok(()),
            false => Err(self.refuse(NotRunReason::VersionGone)),
        }
    }

    /// Key of the stream that the caller takes up; `None` if it names none.
    fn taken_up_key(&self) -> Option<StreamKey> {
        let context = &self.context;
        let begun = context.head.resumes.as_deref()?;
        Some(StreamKey::new(&context.caller, &context.route.host, begun))
    }

    async fn look_up_origin(&self) -> Option<FoundOrigin> {
        let context = &self.context;
        let key = self.taken_up_key();
        if let Some(origin) = key.and_then(|key| self.node.origins.held(&key)) {
            return Some(FoundOrigin::Held(origin));
        }
        let time = self.max_stream_age();
        let only = self.node.only_origin(&context.route.name);
        let only = only.filter(|only| only.time >= time);
        let only = only.map(|only| FoundOrigin::OnlyVersion(only.origin));
        if key.is_none() && only.is_some() {
            return only;
        }
        let question = StreamQuestion {
            key,
            request_key: StreamKey::new(&context.caller, &context.route.host, &context.id),
            route: &context.route.name,
            time,
        };
        let entries = Arc::clone(&self.node.view.load().entries);
        let asked = self.node.origins.ask_homes(&entries, question).await;
        asked.or(only)
    }

    /// Longest time ago at which the stream that the caller takes up can have begun: its tries share
    /// one deadline.
    fn max_stream_age(&self) -> Duration {
        let max_wait = self.context.route.timeout * MAX_WAIT_PERCENT / 100;
        max_wait.saturating_sub(self.context.remaining(Instant::now()))
    }

    fn record_taken_up(&self, found: Option<&FoundOrigin>) {
        let (source, origin) = match found {
            Some(FoundOrigin::Held(origin)) => ("held", Some(origin)),
            Some(FoundOrigin::OnlyVersion(origin)) => ("only_version", Some(origin)),
            None => ("unknown", None),
        };
        self.node.metrics.record_taken_up(source);
        let version = origin.and_then(|origin| origin.version.as_deref());
        log_event!(
            info,
            "stream_taken_up",
            request = self.context.id,
            resumes = self.context.head.resumes.as_deref().unwrap_or_default(),
            last_event = format!("{:?}", self.context.head.last_event),
            source = source,
            pool = origin.map_or("", |origin| &origin.pool),
            version = version.unwrap_or_default()
        );
    }

    /// Fixes the origin of the stream when its first event has arrived from an endpoint of
    /// `version`. `None` if the stream can't be taken up.
    pub(in crate::gateway) fn begin_stream(
        &mut self,
        version: Option<&Arc<str>>,
    ) -> Option<OriginGuard> {
        if !self.is_resumable() {
            return None;
        }
        let context = &self.context;
        let key = match (&self.origin, self.taken_up_key()) {
            (Some(_), Some(key)) => key,
            (Some(_), None) | (None, _) => {
                StreamKey::new(&context.caller, &context.route.host, &context.id)
            }
        };
        let origin = self.origin.get_or_insert_with(|| StreamOrigin {
            pool: context.pool.clone(),
            version: version.cloned(),
        });
        // The caller may wait longer than the route lets one try last.
        let lifetime = context.head.remaining.unwrap_or(context.route.timeout);
        Some(self.node.hold_origin(key, origin.clone(), lifetime))
    }
}
