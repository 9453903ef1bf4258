//! The configuration stream in the platform's log.

use bytes::Bytes;
use lentil_config::Page;
use lentil_core::{Offset, RecordId};
use lentil_platform::{HttpLog, LogPage, LogRecord, LogService, ReadError, StreamName};

/// The stream's name.
pub const CONFIG_STREAM: &str = "lentiltray-configuration";
/// Most records of one reading.
const PAGE_MAX: u32 = 256;

/// Reads a page of the configuration stream.
///
/// # Errors
/// The log doesn't answer.
pub(crate) async fn page(log: &HttpLog, from: Offset) -> Result<Page, ReadError> {
    let stream = StreamName::new(CONFIG_STREAM);
    let read = log.read(&stream, from, PAGE_MAX).await?;
    Ok(to_page(from, read))
}

/// Appends a checkpoint; a lost answer is of no matter.
pub(crate) async fn append(log: &HttpLog, bytes: Vec<u8>) {
    let stream = StreamName::new(CONFIG_STREAM);
    let record = LogRecord {
        id: RecordId::new(rand::random()),
        body: Bytes::from(bytes),
    };
    if let Err(error) = log.append(&stream, &[record]).await {
        log::warn!("appending a checkpoint: {error}");
    }
}

fn to_page(from: Offset, read: LogPage) -> Page {
    let is_full = u32::try_from(read.records.len()).is_ok_and(|count| count >= PAGE_MAX);
    let body = |(offset, record): (Offset, LogRecord)| (offset, record.body.to_vec());
    Page {
        start: read.oldest,
        from: from.max(read.oldest),
        next: read.next,
        // A full page has more behind it.
        end: if is_full { read.next.next() } else { read.next },
        records: read.records.into_iter().map(body).collect(),
    }
}
