//! Requests that are open, from their arrival until their answer is sent.

use std::cell::Cell;
use std::error::Error;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use lentil_core::Span;
use lentil_shell::{RequestGuard, RequestTracker};
use ntex::http::body::{Body, BodySize, MessageBody, ResponseBody};
use ntex::io::IoRef;
use ntex::util::Bytes;
use ntex::web::{HttpRequest, HttpResponse};

/// Time between two looks at bytes that are not yet sent.
const SENT_POLL: Duration = Duration::from_millis(5);

/// One open request.
#[derive(Debug)]
pub(crate) struct Open {
    drain: RequestTracker,
    ticket: Option<RequestGuard>,
    io: Option<IoRef>,
    send_timeout: Span,
    polls: Rc<Cell<u64>>,
    watched: Rc<Cell<bool>>,
}

impl Open {
    /// Counts a request until its answer is sent; `None` once stopping.
    pub(crate) fn begin(
        drain: &RequestTracker,
        request: &HttpRequest,
        send_timeout: Span,
    ) -> Option<Self> {
        Some(Self {
            ticket: Some(drain.try_start()?),
            drain: drain.clone(),
            io: request.io().cloned(),
            send_timeout,
            polls: Rc::default(),
            watched: Rc::default(),
        })
    }

    /// Keeps the request open until its answer is sent.
    pub(crate) fn until_sent(self, response: HttpResponse) -> HttpResponse {
        response.map_body(|_, body| {
            ResponseBody::Other(Body::from_message(OpenBody { body, open: self }))
        })
    }

    /// Cuts the caller off if it takes nothing of what is buffered for it
    /// until the send timeout has passed.
    fn watch_slow_reader(&self) {
        let Some(io) = self.io.clone() else { return };
        if !io.is_wr_backpressure() || self.watched.replace(true) {
            return;
        }
        let (polls, watched) = (Rc::clone(&self.polls), Rc::clone(&self.watched));
        let before = polls.get();
        let send_timeout = self.send_timeout;
        ntex::rt::spawn(async move {
            tokio::time::sleep(send_timeout.into()).await;
            watched.set(false);
            if polls.get() == before && !io.is_closed() {
                io.terminate();
            }
        });
    }
}

impl Drop for Open {
    /// During a stop the ticket outlives the body until its bytes are sent.
    fn drop(&mut self) {
        let (Some(ticket), Some(io)) = (self.ticket.take(), self.io.take()) else {
            return;
        };
        if self.drain.is_closed() {
            ntex::rt::spawn(async move {
                wait_until_sent(&io).await;
                drop(ticket);
            });
        }
    }
}

async fn wait_until_sent(io: &IoRef) {
    loop {
        tokio::time::sleep(SENT_POLL).await;
        if io.is_closed() || io.with_write_dst_buf(|buffer| buffer.is_empty()) {
            return;
        }
    }
}

/// A body that keeps its request open.
struct OpenBody {
    body: ResponseBody<Body>,
    open: Open,
}

impl MessageBody for OpenBody {
    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Rc<dyn Error>>>> {
        self.open.polls.set(self.open.polls.get().wrapping_add(1));
        let polled = self.body.poll_next_chunk(cx);
        if polled.is_ready() {
            self.open.watch_slow_reader();
        }
        polled
    }
}
