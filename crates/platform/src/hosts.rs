//! The host list: processes on live and leaving hosts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::{
    ClientOptions, HostRecord, HostsReply, HttpClient, LocalFuture, ReadError, RequestError,
    WithEtag, WriteError,
};

/// A list of processes on live and leaving hosts, which may lag behind.
pub trait HostList {
    /// Returns the list as the service knows it.
    fn hosts(&self) -> LocalFuture<'_, Result<Vec<HostRecord>, ReadError>>;

    /// Announces a process. Repeated announcements serve as heartbeats.
    fn announce<'a>(&'a self, record: &'a HostRecord) -> LocalFuture<'a, Result<(), WriteError>>;
}

/// HTTP client of the host list. It uses the entity tag to read the list again
/// only when it has changed.
#[derive(Debug, Clone)]
pub struct HttpHostList {
    http: HttpClient,
    cached: Rc<RefCell<Option<WithEtag<Vec<HostRecord>>>>>,
    full_read_count: Rc<Cell<u64>>,
}

impl HttpHostList {
    /// Creates a client on the current thread.
    ///
    /// # Errors
    /// Returns an error if the client can't be built.
    pub async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        let http = HttpClient::new(options).await?;
        Ok(Self {
            http,
            cached: Rc::default(),
            full_read_count: Rc::default(),
        })
    }
}

impl HttpHostList {
    /// The number of times that the full list was read.
    #[must_use]
    pub fn full_read_count(&self) -> u64 {
        self.full_read_count.get()
    }

    fn cached_etag(&self) -> Option<String> {
        self.cached.borrow().as_ref()?.etag.clone()
    }
}

impl HostList for HttpHostList {
    fn hosts(&self) -> LocalFuture<'_, Result<Vec<HostRecord>, ReadError>> {
        Box::pin(async move {
            let etag = self.cached_etag();
            let changed = self
                .http
                .get_if_changed::<HostsReply>("/hosts", etag.as_deref())
                .await?;
            if let Some(reply) = changed {
                self.full_read_count.set(self.full_read_count.get() + 1);
                *self.cached.borrow_mut() = Some(WithEtag {
                    etag: reply.etag,
                    content: reply.content.hosts,
                });
            }
            let cached = self.cached.borrow();
            Ok(cached
                .as_ref()
                .map(|cached| cached.content.clone())
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
