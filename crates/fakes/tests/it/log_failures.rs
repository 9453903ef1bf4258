use bytes::Bytes;
use lentil_core::{Offset, RecordId, Span};
use lentil_fakes::{FakeLog, LogOptions, Outage};
use lentil_platform::{ClientOptions, HttpLog, LogRecord, LogService, StreamName, WriteError};

async fn client(log: &FakeLog) -> HttpLog {
    let options = ClientOptions {
        base_url: format!("http://{}", log.address()),
        timeout: Span::from_ms(400),
    };
    HttpLog::new(&options).await.unwrap()
}

fn record(id: u128) -> LogRecord {
    LogRecord {
        id: RecordId::new(id),
        body: Bytes::from(format!("record {id}")),
    }
}

#[ntex::test]
async fn appends_are_read() {
    let log = FakeLog::start(LogOptions::default()).unwrap();
    let client = client(&log).await;
    let stream = StreamName::new("claims");
    let first = client.append(&stream, &[record(1), record(2)]).await;
    let second = client.append(&stream, &[record(3)]).await;
    assert_eq!((first, second), (Ok(Offset::new(0)), Ok(Offset::new(2))));
    let page = client.read(&stream, Offset::new(1), 10).await.unwrap();
    let expected = vec![(Offset::new(1), record(2)), (Offset::new(2), record(3))];
    assert_eq!(page.records, expected);
    assert_eq!((page.next, page.oldest), (Offset::new(3), Offset::new(0)));
}

#[ntex::test]
async fn dropped_response_is_unknown_and_applied() {
    let log = FakeLog::start(LogOptions::default()).unwrap();
    let client = client(&log).await;
    let stream = StreamName::new("claims");
    log.drop_responses(1);
    let dropped = client.append(&stream, &[record(7)]).await;
    assert!(
        matches!(dropped, Err(WriteError::Unknown(_))),
        "{dropped:?}"
    );
    let page = client.read(&stream, Offset::new(0), 10).await.unwrap();
    assert_eq!(page.records, vec![(Offset::new(0), record(7))]);
}

#[ntex::test]
async fn outages_map_to_write_errors() {
    let options = LogOptions {
        appends_per_second: 1,
        ..LogOptions::default()
    };
    let log = FakeLog::start(options).unwrap();
    let client = client(&log).await;
    let stream = StreamName::new("claims");
    client.append(&stream, &[record(1)]).await.unwrap();
    let limited = client.append(&stream, &[record(2)]).await;
    assert!(
        matches!(limited, Err(WriteError::NotApplied(_))),
        "{limited:?}"
    );
    log.set_outage(Outage::Silent);
    let silent = client.append(&stream, &[record(3)]).await;
    assert!(matches!(silent, Err(WriteError::Unknown(_))), "{silent:?}");
    log.set_outage(Outage::Refusing);
    let refused = client.append(&stream, &[record(4)]).await;
    assert!(
        matches!(refused, Err(WriteError::Unknown(_))),
        "{refused:?}"
    );
    log.set_outage(Outage::None);
    let page = client.read(&stream, Offset::new(0), 10).await.unwrap();
    assert_eq!(page.records, vec![(Offset::new(0), record(1))]);
}

#[ntex::test]
async fn truncated_records_are_gone() {
    let log = FakeLog::start(LogOptions::default()).unwrap();
    let client = client(&log).await;
    let stream = StreamName::new("config");
    for id in 0..4 {
        client.append(&stream, &[record(id)]).await.unwrap();
    }
    log.truncate_before("config", 3);
    let page = client.read(&stream, Offset::new(0), 10).await.unwrap();
    assert_eq!(page.oldest, Offset::new(3));
    assert_eq!(page.records, vec![(Offset::new(3), record(3))]);
}

#[ntex::test]
async fn append_to_crashed_log_is_not_applied() {
    let log = FakeLog::start(LogOptions::default()).unwrap();
    let stream = StreamName::new("claims");
    log.crash();
    // The first appends may fail because an open connection is closed, which leaves their outcome
    // unknown. Later connections are refused.
    let mut last = None;
    for _ in 0..100 {
        let client = client(&log).await;
        let failed = client.append(&stream, &[record(1)]).await;
        let not_applied = matches!(failed, Err(WriteError::NotApplied(_)));
        last = Some(failed);
        if not_applied {
            break;
        }
    }
    assert!(
        matches!(last, Some(Err(WriteError::NotApplied(_)))),
        "{last:?}"
    );
}
