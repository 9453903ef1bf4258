//! The metric registry of a process.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use lentil_settings::Process;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};

/// Prefix of all metric names.
const PREFIX: &str = "lentiltray";

/// The metric registry of a process, shared by its threads.
#[derive(Clone)]
pub struct Metrics(Arc<Mutex<Registry>>);

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics(..)")
    }
}

impl Metrics {
    /// Creates a registry, then logs and registers each protection that the
    /// settings leave disabled.
    #[must_use]
    pub fn new(process: &Process) -> Self {
        let metrics = Self(Arc::new(Mutex::new(Registry::with_prefix(PREFIX))));
        let exposures = Family::<[(&'static str, &'static str); 1], Gauge>::default();
        for exposure in process.exposures() {
            log::warn!(exposure:% = exposure; "the settings leave a protection disabled");
            exposures
                .get_or_create(&[("kind", exposure.as_str())])
                .set(1);
        }
        let help = "Protections that the settings leave out";
        metrics.register("exposure", help, exposures);
        metrics
    }

    /// Registers a metric.
    pub fn register<M: Metric>(&self, name: &str, help: &str, metric: M) {
        let mut registry = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, metric);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// A metric can't be encoded.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let registry = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}
