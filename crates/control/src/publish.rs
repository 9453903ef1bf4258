//! Publishes changes and queries peers, for operators' tools and tests.

use bytes::Bytes;
use lentil_config::{
    AppendResult, ChangeRecord, ConfigLedger, Exchange, PublishAction, PublishEvent,
    PublishOutcome, Publisher,
};
use lentil_core::{ConfigVersion, RecordId, Span};
use lentil_platform::{HttpLog, LogRecord, LogService, StreamName, WriteError};
use lentil_shell::{Clock, PeerConnector};
use lentil_wire::v1::peer_client::PeerClient;

use crate::config_stream::{CONFIG_STREAM, read_page};
use crate::error::ControlError;
use crate::peer::{from_reply, to_request};

/// Wait before the next attempt when there is nothing to do.
const POLL_INTERVAL: Span = Span::from_ms(50);
/// Timeout of a call to a peer.
const PEER_TIMEOUT: Span = Span::from_s(2);

/// Publishes a change and returns the result together with the state that was read
/// from the log.
///
/// All appends of one call carry the same record under the same identifier.
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
                tokio::time::sleep(POLL_INTERVAL.into()).await;
                PublishEvent::Tick
            }
            Some(PublishAction::Finish(settled)) => {
                return (settled, publisher.ledger().clone());
            }
            Some(PublishAction::ReadLog(from)) => match read_page(log, from).await {
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
/// The log did not return the whole stream before the timeout.
pub async fn read_configuration(
    log: &HttpLog,
    timeout: Span,
) -> Result<ConfigLedger, ControlError> {
    let clock = Clock::start();
    let deadline = clock.now() + timeout;
    let mut reader = lentil_config::LogReader::default();
    loop {
        if deadline.has_passed(clock.now()) {
            return Err(ControlError::LogTimeout);
        }
        match read_page(log, reader.next_offset()).await {
            Ok(page) => {
                if reader.on_page(&page) {
                    return Ok(reader.into_ledger());
                }
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL.into()).await,
        }
    }
}

/// Exchanges one message with the process at an address.
///
/// # Errors
/// The process did not answer before the timeout, or its answer is invalid.
pub async fn exchange_with_peer(
    linker: &PeerConnector,
    address: &str,
    message: Exchange,
) -> Result<Exchange, ControlError> {
    let mut client = PeerClient::new(linker.channel(address)?);
    let request = client.exchange(to_request(message)?);
    let reply = tokio::time::timeout(PEER_TIMEOUT.into(), request)
        .await
        .map_err(|_| ControlError::PeerTimeout)??;
    from_reply(reply.into_inner())
}
