//! Fetches model weights from the rate-limited store.

use std::future::pending;

use lentil_core::Span;
use lentil_order::Assignment;
use lentil_platform::{
    ClientOptions, HttpWeightStore, LocalFuture, ReadError, RequestError, WeightStore,
};

/// Delay before a failed or refused fetch is retried.
const RETRY_INTERVAL: Span = Span::from_s(1);

/// Fetches weights, one version at a time.
pub(crate) struct WeightFetch {
    store: HttpWeightStore,
    requested: Option<Assignment>,
    running: Option<LocalFuture<'static, Result<(), ReadError>>>,
    fetched: Option<Assignment>,
}

impl WeightFetch {
    pub(crate) async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        Ok(Self {
            store: HttpWeightStore::new(options).await?,
            requested: None,
            running: None,
            fetched: None,
        })
    }

    /// Whether these weights have been fetched.
    pub(crate) fn is_fetched(&self, to: &Assignment) -> bool {
        self.fetched.as_ref() == Some(to)
    }

    /// Starts a fetch, unless these weights are already fetched or in progress.
    pub(crate) fn request(&mut self, to: &Assignment) {
        if self.is_fetched(to) || self.requested.as_ref() == Some(to) {
            return;
        }
        self.requested = Some(to.clone());
        self.running = Some(self.fetch_after(to.clone(), Span::ZERO));
    }

    fn fetch_after(
        &self,
        to: Assignment,
        delay: Span,
    ) -> LocalFuture<'static, Result<(), ReadError>> {
        let store = self.store.clone();
        Box::pin(async move {
            tokio::time::sleep(delay.into()).await;
            store.fetch(&to.model, to.version.as_str()).await?;
            Ok(())
        })
    }

    /// Waits until the current fetch succeeds, retrying it on failure. Without a
    /// current fetch it never returns.
    pub(crate) async fn wait_fetched(&mut self) {
        while let Some(running) = &mut self.running {
            let result = running.await;
            self.running = None;
            let Some(to) = self.requested.take() else {
                return;
            };
            if result.is_ok() {
                self.fetched = Some(to);
                return;
            }
            self.running = Some(self.fetch_after(to.clone(), RETRY_INTERVAL));
            self.requested = Some(to);
        }
        pending::<()>().await;
    }
}
