//! The list of live and leaving hosts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::{
    ClientOptions, HostRecord, HostsReply, HttpClient, LocalFuture, ReadError, RequestError,
    WithEtag, WriteError,
};

/// A lagging list of processes on live and leaving hosts.
pub trait HostList {
    /// Reads the list as it is known.
    fn hosts(&self) -> LocalFuture<'_, Result<Vec<HostRecord>, ReadError>>;

    /// Announces a process, as a heartbeat.
    fn announce<'a>(&'a self, record: &'a HostRecord) -> LocalFuture<'a, Result<(), WriteError>>;
}

/// The host list's client; it reads the whole list only when that has changed.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    http: HttpClient,
    known: Rc<RefCell<Option<WithEtag<Vec<HostRecord>>>>>,
    full_read_count: Rc<Cell<u64>>,
}

impl HttpHostList {
    /// Makes a client on the current thread.
    ///
    /// # Errors
    /// The client can't be built.
    pub async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        let http = HttpClient::new(options).await?;
        Ok(Self {
            http,
            known: Rc::default(),
            full_read_count: Rc::default(),
        })
    }
}

impl HttpHostList {
    /// How often the whole list was read.
    #[must_use]
    pub fn full_read_count(&self) -> u64 {
        self.full_read_count.get()
    }

    fn known_tag(&self) -> Option<String> {
        self.known.borrow().as_ref()?.etag.clone()
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> LocalFuture<'_, Result<Vec<HostRecord>, ReadError>> {
        Box::pin(async move {
            let tag = self.known_tag();
            let changed = self
                .http
                .get_if_changed::<HostsReply>("/hosts", tag.as_deref())
                .await?;
            if let Some(reply) = changed {
                self.full_read_count.set(self.full_read_count.get() + 1);
                *self.known.borrow_mut() = Some(WithEtag {
                    etag: reply.etag,
                    content: reply.content.hosts,
                });
            }
            let known = self.known.borrow();
            Ok(known
                .as_ref()
                .map(|known| known.content.clone())
                .unwrap_or_default())
        })
    }

    fn announce<'a>(&'a self, record: &'a HostRecord) -> LocalFuture<'a, Result<(), WriteError>> {
        Box::pin(async move {
            let path = format!("/hosts/{}", record.process);
            Ok(self.http.put(&path, record).await?)
        })
    }
}
