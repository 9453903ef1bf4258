//! Tracking of HTTP requests from arrival until the response is sent.

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

/// Interval between checks whether the buffered response has been sent.
const SEND_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request whose response has not been sent completely.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    drain: RequestTracker,
    ticket: Option<RequestGuard>,
    io: Option<IoRef>,
    send_timeout: Span,
    polls: Rc<Cell<u64>>,
    watching: Rc<Cell<bool>>,
}

impl OpenRequest {
    /// Registers a request as running; returns `None` if the process is stopping.
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
            watching: Rc::default(),
        })
    }

    /// Keeps the request registered until the response is sent.
    pub(crate) fn hold_until_sent(self, response: HttpResponse) -> HttpResponse {
        response.map_body(|_, body| {
            ResponseBody::Other(Body::from_message(OpenBody { body, open: self }))
        })
    }

    /// Closes the connection if the caller reads none of the buffered response within the
    /// send timeout.
    fn watch_slow_reader(&self) {
        let Some(io) = self.io.clone() else { return };
        if !io.is_wr_backpressure() || self.watching.replace(true) {
            return;
        }
        let (polls, watching) = (Rc::clone(&self.polls), Rc::clone(&self.watching));
        let polls_before = polls.get();
        let send_timeout = self.send_timeout;
        ntex::rt::spawn(async move {
            tokio::time::sleep(send_timeout.into()).await;
            watching.set(false);
            if polls.get() == polls_before && !io.is_closed() {
                io.terminate();
            }
        });
    }
}

impl Drop for OpenRequest {
    /// During shutdown, keeps the ticket until the buffered response has been sent.
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
        tokio::time::sleep(SEND_POLL_INTERVAL).await;
        if io.is_closed() || io.with_write_dst_buf(|buffer| buffer.is_empty()) {
            return;
        }
    }
}

/// A response body that keeps its request registered as running.
struct OpenBody {
    body: ResponseBody<Body>,
    open: OpenRequest,
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
