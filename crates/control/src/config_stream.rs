//! Reads from and appends to the configuration stream in the platform's log.

use bytes::Bytes;
use lentil_config::Page;
use lentil_core::{Offset, RecordId};
use lentil_platform::{HttpLog, LogPage, LogRecord, LogService, ReadError, StreamName};

/// Name of the configuration stream.
pub const CONFIG_STREAM: &str = "lentiltray-configuration";
/// Maximum number of records in one read.
const PAGE_RECORDS_MAX: u32 = 256;

/// Reads a page of the configuration stream.
///
/// # Errors
/// The log could not be read.
pub(crate) async fn read_page(log: &HttpLog, from: Offset) -> Result<Page, ReadError> {
    let stream = StreamName::new(CONFIG_STREAM);
    let read = log.read(&stream, from, PAGE_RECORDS_MAX).await?;
    Ok(to_page(from, read))
}

/// Appends a checkpoint. A lost response does no harm, so a failure is only logged.
pub(crate) async fn append_checkpoint(log: &HttpLog, bytes: Vec<u8>) {
    let stream = StreamName::new(CONFIG_STREAM);
    let record = LogRecord {
        id: RecordId::new(rand::random()),
        body: Bytes::from(bytes),
    };
    if let Err(error) = log.append(&stream, &[record]).await {
        log::warn!("failed to append a checkpoint to the configuration stream: {error}");
    }
}

fn to_page(from: Offset, read: LogPage) -> Page {
    let is_full = u32::try_from(read.records.len()).is_ok_and(|count| count >= PAGE_RECORDS_MAX);
    let to_entry = |(offset, record): (Offset, LogRecord)| (offset, record.body.to_vec());
    Page {
        start: read.oldest,
        from: from.max(read.oldest),
        next: read.next,
        // A full page may be followed by more records, so the end is set past it.
        end: if is_full { read.next.next() } else { read.next },
        records: read.records.into_iter().map(to_entry).collect(),
    }
}
