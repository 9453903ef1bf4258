//! The append-only log service.

use std::fmt;
use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use lentil_core::{Offset, ParseIdError, RecordId};

use crate::{
    AppendReply, AppendRequest, ClientOptions, HttpClient, LocalFuture, ReadError, ReadReply,
    RequestError, WireAppendRecord, WireReadRecord, WriteError,
};

/// The name of a stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamName(Arc<str>);

impl StreamName {
    /// Creates a name that is safe in a URL: characters other than ASCII letters,
    /// digits and `-_.` are replaced by `-`.
    #[must_use]
    pub fn new(name: &str) -> Self {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let name: String = name
            .chars()
            .map(|c| if is_allowed(c) { c } else { '-' })
            .collect();
        Self(Arc::from(name))
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for StreamName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// Identifier chosen by the writer.
    pub id: RecordId,
    /// Content.
    pub body: Bytes,
}

/// The result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, LogRecord)>,
    /// The offset to read from next.
    pub next: Offset,
    /// The oldest retained offset.
    pub oldest: Offset,
}

/// An append-only log with offsets and limited retention.
pub trait LogService {
    /// Appends records at consecutive offsets and returns the first offset.
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        records: &'a [LogRecord],
    ) -> LocalFuture<'a, Result<Offset, WriteError>>;

    /// Reads at most `limit` records from an offset on.
    ///
    /// If `from` is no longer retained, reading starts at the oldest record.
    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: Offset,
        limit: u32,
    ) -> LocalFuture<'a, Result<LogPage, ReadError>>;
}

/// HTTP client of the log service.
#[derive(Debug, Clone)]
pub struct HttpLog {
    http: HttpClient,
}

impl HttpLog {
    /// Creates a client on the current thread.
    ///
    /// # Errors
    /// Returns an error if the client can't be built.
    pub async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        let http = HttpClient::new(options).await?;
        Ok(Self { http })
    }
}

impl LogService for HttpLog {
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        records: &'a [LogRecord],
    ) -> LocalFuture<'a, Result<Offset, WriteError>> {
        Box::pin(async move {
            let request = AppendRequest {
                records: records.iter().map(WireAppendRecord::from).collect(),
            };
            let path = format!("/streams/{stream}/records");
            let reply: AppendReply = self.http.post(&path, &request).await?;
            Ok(Offset::new(reply.first_offset))
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: Offset,
        limit: u32,
    ) -> LocalFuture<'a, Result<LogPage, ReadError>> {
        Box::pin(async move {
            let path = format!("/streams/{stream}/records?from={from}&limit={limit}");
            let reply: ReadReply = self.http.get(&path).await?;
            Ok(LogPage::try_from(reply)?)
        })
    }
}

impl From<&LogRecord> for WireAppendRecord {
    fn from(record: &LogRecord) -> Self {
        Self {
            id: record.id.to_string(),
            body: STANDARD.encode(&record.body),
        }
    }
}

impl TryFrom<&WireReadRecord> for LogRecord {
    type Error = RequestError;

    fn try_from(record: &WireReadRecord) -> Result<Self, RequestError> {
        let id = record
            .id
            .parse()
            .map_err(|error: ParseIdError| RequestError::Malformed(error.to_string()))?;
        let body = STANDARD
            .decode(&record.body)
            .map_err(|error| RequestError::Malformed(error.to_string()))?;
        Ok(Self {
            id,
            body: Bytes::from(body),
        })
    }
}

impl TryFrom<ReadReply> for LogPage {
    type Error = RequestError;

    fn try_from(reply: ReadReply) -> Result<Self, RequestError> {
        let records = reply
            .records
            .iter()
            .map(|record| Ok((Offset::new(record.offset), LogRecord::try_from(record)?)))
            .collect::<Result<_, RequestError>>()?;
        Ok(Self {
            records,
            next: Offset::new(reply.next),
            oldest: Offset::new(reply.oldest),
        })
    }
}
