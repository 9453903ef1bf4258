//! A fake weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentil_core::{ByteCount, Span};
use ntex::web::types::State;
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::FakeError;
use crate::server::{Server, control, lock};

/// Options of the fake weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreOptions {
    /// Size of the weights of each model.
    pub size: ByteCount,
    /// Transfer rate shared by all fetches.
    pub bytes_per_second: u64,
    /// Maximum time for a fetch to complete, queueing included; a fetch that would take longer is
    /// refused.
    pub wait_max: Span,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self {
            size: ByteCount::new(64 * 1024),
            bytes_per_second: 1024 * 1024,
            wait_max: Span::from_s(10),
        }
    }
}

/// A running fake weight store.
#[derive(Debug)]
pub struct FakeWeightStore {
    server: Server,
    shared: Shared,
}

type Shared = Arc<Mutex<Store>>;

#[derive(Debug)]
struct Store {
    options: WeightStoreOptions,
    free_at: Instant,
    fetches: u64,
    refusals: u64,
}

impl FakeWeightStore {
    /// Starts the weight store at a free port.
    ///
    /// # Errors
    /// Binding the port or starting the thread failed.
    pub fn start(options: WeightStoreOptions) -> Result<Self, FakeError> {
        let shared = Arc::new(Mutex::new(Store {
            options,
            free_at: Instant::now(),
            fetches: 0,
            refusals: 0,
        }));
        let server = Server::start("fake-weights", control(), Arc::clone(&shared), routes)?;
        Ok(Self { server, shared })
    }

    /// The address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of fetches admitted so far.
    #[must_use]
    pub fn fetches(&self) -> u64 {
        lock(&self.shared).fetches
    }

    /// Number of fetches refused because they would have exceeded `wait_max`.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        lock(&self.shared).refusals
    }
}

fn routes(config: &mut ServiceConfig) {
    config.service(web::resource("/weights/{model}/{version}").route(web::get().to(fetch)));
}

impl Store {
    /// Returns the time until the transfer completes, or `None` if it exceeds `wait_max`.
    fn admit(&mut self, now: Instant) -> Option<Duration> {
        let rate = self.options.bytes_per_second.max(1);
        let us = self.options.size.get().saturating_mul(1_000_000) / rate;
        let done_at = self.free_at.max(now) + Duration::from_micros(us);
        let wait = done_at.duration_since(now);
        if wait > Duration::from(self.options.wait_max) {
            self.refusals += 1;
            return None;
        }
        self.free_at = done_at;
        self.fetches += 1;
        Some(wait)
    }
}

async fn fetch(store: State<Shared>) -> HttpResponse {
    let (wait, size) = {
        let mut store = lock(&store);
        (store.admit(Instant::now()), store.options.size)
    };
    let Some(wait) = wait else {
        return HttpResponse::TooManyRequests()
            .header("retry-after", "1")
            .finish();
    };
    tokio::time::sleep(wait).await;
    let len_bytes = usize::try_from(size.get()).unwrap_or(usize::MAX);
    HttpResponse::Ok().body(vec![0_u8; len_bytes])
}
