//! A pipeline's answer as server-sent events: `token` events as the text
//! comes, then one `answer` or `error` event.

use futures::{FutureExt, Stream};
use tokio::sync::mpsc;

use super::{ApiError, ApiResponse, response_body};
use crate::entry::EntryNode;
use crate::pipeline::{self, PipelineAnswer, PipelineRequest};
use crate::prelude::*;

/// Pieces of text that may wait for a slow caller before the stage waits too.
const SINK_CAPACITY: usize = 64;

#[derive(Serialize)]
struct TokenEvent<'a> {
    text: &'a str,
}

/// Runs `request` and streams its answer; the run ends as soon as the caller
/// drops the response.
pub(super) fn start(node: &Arc<EntryNode>, mut request: PipelineRequest) -> ApiResponse {
    let (sink, pieces) = mpsc::channel(SINK_CAPACITY);
    request.sink = Some(sink);
    let (sender, events) = mpsc::channel(1);
    let run = run(Arc::clone(node), request, pieces, sender);
    response_body::event_stream(driven(run, events))
}

/// Sends the events of one request. A piece that came with the end of the
/// answer goes out before the last event.
async fn run(
    node: Arc<EntryNode>,
    request: PipelineRequest,
    mut pieces: mpsc::Receiver<String>,
    events: mpsc::Sender<Bytes>,
) {
    let id = request.id.to_string();
    let answer = node.run(request);
    tokio::pin!(answer);
    let result = loop {
        tokio::select! {
            biased;
            Some(piece) = pieces.recv() => {
                if events.send(token_event(&piece)).await.is_err() {
                    return;
                }
            }
            result = &mut answer => break result,
        }
    };
    while let Ok(piece) = pieces.try_recv() {
        if events.send(token_event(&piece)).await.is_err() {
            return;
        }
    }
    if events.send(last_event(result, &id)).await.is_err() {
        log_event!(debug, "caller_left", request = id);
    }
}

fn token_event(piece: &str) -> Bytes {
    response_body::event("token", &TokenEvent { text: piece })
}

fn last_event(result: pipeline::Result<PipelineAnswer>, id: &str) -> Bytes {
    match result {
        Ok(answer) => response_body::event("answer", &answer),
        Err(error) => response_body::event("error", &ApiError::from(error).document(id)),
    }
}

/// Polls a producer together with its receiver, so that both end together.
fn driven<F>(
    run: F,
    mut events: mpsc::Receiver<Bytes>,
) -> impl Stream<Item = Bytes> + Send + 'static
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut run = Box::pin(run.fuse());
    futures::stream::poll_fn(move |context| {
        let _still_running = run.as_mut().poll(context);
        events.poll_recv(context)
    })
}
