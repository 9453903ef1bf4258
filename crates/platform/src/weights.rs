//! The rate-limited store of model weights.

use lentil_core::{ByteCount, ModelId};

use crate::{ClientOptions, HttpClient, LocalFuture, ReadError, RequestError};

/// A rate-limited store of model weights.
pub trait WeightStore {
    /// Fetches the weights of a model version and returns their size.
    fn fetch<'a>(
        &'a self,
        model: &'a ModelId,
        version: &'a str,
    ) -> LocalFuture<'a, Result<ByteCount, ReadError>>;
}

/// HTTP client of the weight store.
#[derive(Debug, Clone)]
pub struct HttpWeightStore {
    http: HttpClient,
}

impl HttpWeightStore {
    /// Creates a client on the current thread.
    ///
    /// # Errors
    /// Returns an error if the client can't be built.
    pub async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        let http = HttpClient::new(options).await?;
        Ok(Self { http })
    }
}

impl WeightStore for HttpWeightStore {
    fn fetch<'a>(
        &'a self,
        model: &'a ModelId,
        version: &'a str,
    ) -> LocalFuture<'a, Result<ByteCount, ReadError>> {
        Box::pin(async move {
            let path = format!("/weights/{model}/{version}");
            let bytes = self.http.get_bytes(&path).await?;
            let len_bytes = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            Ok(ByteCount::new(len_bytes))
        })
    }
}
