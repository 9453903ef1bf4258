//! Publishing a change, for operators' tools and tests.

use bytes::Bytes;
use lentil_config::{
    AppendResult, ChangeRecord, ConfigLedger, Exchange, PublishAction, PublishEvent,
    PublishOutcome, Publisher,
};
use lentil_core::{ConfigVersion, RecordId, Span};
use lentil_platform::{HttpLog, LogRecord, LogService, StreamName, WriteError};
use lentil_shell::{Clock, Linker};
use lentil_wire::v1::peer_client::PeerClient;

use crate::config_stream::{CONFIG_STREAM, page};
use crate::error::ControlError;
use crate::peer::{from_reply, to_request};

/// Time between two looks at the clock.
const STEP: Span = Span::from_ms(50);
/// How long a peer may take to answer.
const PEER_TIMEOUT: Span = Span::from_s(2);

/// Publishes a change and returns what became of it, with the log as read.
///
/// Several appends of one call carry the same record.
pub async fn publish_change(
    log: &HttpLog,
    record: ChangeRecord,
    expected: Option<ConfigVersion>,
    timeout: Span,
) -> (PublishOutcome, ConfigLedger) {
    let clock = Clock::start();
    let id = RecordId::new(rand::random());
    let now = clock.now();
    let mut publisher = Publisher::new(now, record, expected, now + timeout);
    let mut actions = publisher.on(clock.now(), PublishEvent::Tick);
    loop {
        let event = match actions.pop() {
            None => {
                tokio::time::sleep(STEP.into()).await;
                PublishEvent::Tick
            }
            Some(PublishAction::Finish(settled)) => {
                return (settled, publisher.ledger().clone());
            }
            Some(PublishAction::ReadLog(from)) => match page(log, from).await {
                Ok(page) => PublishEvent::Page(page),
                Err(_) => PublishEvent::ReadFailed,
            },
            Some(PublishAction::Append(bytes)) => {
                PublishEvent::Append(append(log, id, bytes).await)
            }
        };
        actions = publisher.on(clock.now(), event);
    }
}

async fn append(log: &HttpLog, id: RecordId, bytes: Vec<u8>) -> AppendResult {
    let stream = StreamName::new(CONFIG_STREAM);
    let record = LogRecord {
        id,
        body: Bytes::from(bytes),
    };
    match log.append(&stream, &[record]).await {
        Ok(offset) => AppendResult::Appended(offset),
        Err(WriteError::NotApplied(_)) => AppendResult::Failed,
        Err(WriteError::Unknown(_)) => AppendResult::Unknown,
    }
}

/// Reads the configuration stream to its end.
///
/// # Errors
/// The log doesn't answer in time, or holds no position to read on from.
pub async fn read_configuration(
    log: &HttpLog,
    timeout: Span,
) -> Result<ConfigLedger, ControlError> {
    let clock = Clock::start();
    let ends_at = clock.now() + timeout;
    let mut reader = lentil_config::LogReader::default();
    loop {
        if ends_at.has_passed(clock.now()) {
            return Err(ControlError::LogTimeout);
        }
        match page(log, reader.next_offset()).await {
            Ok(page) => {
                if reader.on_page(&page) {
                    return Ok(reader.into_ledger());
                }
            }
            Err(_) => tokio::time::sleep(STEP.into()).await,
        }
    }
}

/// Exchanges one message with the process at an address.
///
/// # Errors
/// It doesn't answer, or its answer is not understood.
pub async fn exchange_with_peer(
    linker: &Linker,
    address: &str,
    message: Exchange,
) -> Result<Exchange, ControlError> {
    let mut client = PeerClient::new(linker.link(address)?);
    let asked = client.exchange(to_request(message)?);
    let reply = tokio::time::timeout(PEER_TIMEOUT.into(), asked)
        .await
        .map_err(|_| ControlError::PeerTimeout)??;
    from_reply(reply.into_inner())
}
