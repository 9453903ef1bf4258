//! Encoding of claim batches in the log.

use bytes::Bytes;
use lentil_core::{AttemptId, BootId, Fingerprint, ParseIdError};
use lentil_once::{Answer, Batch, Executor, KeyDigest, Record};
use lentil_wire::v1;
use lentil_wire::v1::claim_record::Record as Wire;
use prost::Message;
use thiserror::Error;

/// A record of the claim stream can't be decoded.
#[derive(Debug, Error)]
pub(crate) enum CodecError {
    /// The body is not a batch message.
    #[error("not a claim batch: {0}")]
    Message(#[from] prost::DecodeError),
    /// The endpoint's name is invalid.
    #[error("endpoint name: {0}")]
    Endpoint(#[from] ParseIdError),
    /// A 128-bit number is not 16 bytes long.
    #[error("a number has {len_bytes} bytes instead of 16")]
    Number { len_bytes: usize },
    /// A record has no content.
    #[error("a record is empty")]
    Empty,
}

pub(crate) fn encode(batch: &Batch) -> Bytes {
    let message = v1::ClaimBatch {
        endpoint: batch.executor.endpoint.to_string(),
        boot: batch.executor.boot.get(),
        sequence: batch.sequence,
        records: batch.records.iter().map(to_wire).collect(),
    };
    Bytes::from(message.encode_to_vec())
}

pub(crate) fn decode(body: &Bytes) -> Result<Batch, CodecError> {
    let message = v1::ClaimBatch::decode(body.clone())?;
    Ok(Batch {
        executor: Executor {
            endpoint: message.endpoint.parse()?,
            boot: BootId::new(message.boot),
        },
        sequence: message.sequence,
        records: message
            .records
            .into_iter()
            .map(from_wire)
            .collect::<Result<_, _>>()?,
    })
}

fn to_wire(record: &Record) -> v1::ClaimRecord {
    let claim_to_wire = |claim: &AttemptId, key: &KeyDigest, fingerprint: &Fingerprint| v1::Claim {
        attempt: number_to_bytes(claim.get()),
        key: number_to_bytes(key.get()),
        fingerprint: number_to_bytes(fingerprint.get()),
    };
    let wire = match record {
        Record::Start => Wire::Start(v1::Start {}),
        Record::Claim {
            claim,
            key,
            fingerprint,
        } => Wire::Claim(claim_to_wire(claim, key, fingerprint)),
        Record::Elsewhere {
            claim,
            key,
            fingerprint,
        } => Wire::OtherSystem(claim_to_wire(claim, key, fingerprint)),
        Record::Release { claim, key } => Wire::Release(v1::Release {
            attempt: number_to_bytes(claim.get()),
            key: number_to_bytes(key.get()),
        }),
        Record::Done { claim, key, answer } => Wire::Ended(v1::Ended {
            attempt: number_to_bytes(claim.get()),
            key: number_to_bytes(key.get()),
            answer: answer.as_ref().map(answer_to_wire),
        }),
    };
    v1::ClaimRecord { record: Some(wire) }
}

fn from_wire(record: v1::ClaimRecord) -> Result<Record, CodecError> {
    Ok(match record.record.ok_or(CodecError::Empty)? {
        Wire::Start(_) => Record::Start,
        Wire::Claim(claim) => Record::Claim {
            claim: parse_attempt(&claim.attempt)?,
            key: parse_key(&claim.key)?,
            fingerprint: Fingerprint::new(parse_number(&claim.fingerprint)?),
        },
        Wire::OtherSystem(claim) => Record::Elsewhere {
            claim: parse_attempt(&claim.attempt)?,
            key: parse_key(&claim.key)?,
            fingerprint: Fingerprint::new(parse_number(&claim.fingerprint)?),
        },
        Wire::Release(release) => Record::Release {
            claim: parse_attempt(&release.attempt)?,
            key: parse_key(&release.key)?,
        },
        Wire::Ended(ended) => Record::Done {
            claim: parse_attempt(&ended.attempt)?,
            key: parse_key(&ended.key)?,
            answer: ended.answer.map(answer_from_wire),
        },
    })
}

/// Converts an endpoint's answer to its wire message.
pub(crate) fn answer_to_wire(answer: &Answer) -> v1::Answer {
    v1::Answer {
        status: answer.status.into(),
        headers: answer
            .headers
            .iter()
            .map(|(name, value)| v1::Header {
                name: name.clone(),
                value: value.clone(),
            })
            .collect(),
        body: answer.body.to_vec(),
        replayed: false,
        load: None,
    }
}

/// Converts a wire message to an endpoint's answer.
pub(crate) fn answer_from_wire(answer: v1::Answer) -> Answer {
    Answer {
        status: u16::try_from(answer.status).unwrap_or(u16::MAX),
        headers: answer
            .headers
            .into_iter()
            .map(|header| (header.name, header.value))
            .collect(),
        body: answer.body.into(),
    }
}

fn number_to_bytes(number: u128) -> Vec<u8> {
    number.to_be_bytes().to_vec()
}

fn parse_number(bytes: &[u8]) -> Result<u128, CodecError> {
    <[u8; 16]>::try_from(bytes)
        .map(u128::from_be_bytes)
        .map_err(|_| CodecError::Number {
            len_bytes: bytes.len(),
        })
}

fn parse_attempt(bytes: &[u8]) -> Result<AttemptId, CodecError> {
    parse_number(bytes).map(AttemptId::new)
}

fn parse_key(bytes: &[u8]) -> Result<KeyDigest, CodecError> {
    parse_number(bytes).map(KeyDigest::new)
}
