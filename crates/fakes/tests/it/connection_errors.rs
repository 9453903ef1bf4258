//! Classification of failed appends. A log that reads a request and closes the connection without a
//! response may have applied the append, so its outcome is unknown. A refused connection proves that
//! it wasn't applied.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};

use bytes::Bytes;
use lentil_core::{RecordId, Span};
use lentil_platform::{ClientOptions, HttpLog, LogRecord, LogService, StreamName, WriteError};

/// Maximum number of request bytes that the peer reads before it closes the connection.
const REQUEST_MAX_BYTES: usize = 4096;

fn start_closing_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        let mut request = [0; REQUEST_MAX_BYTES];
        let _ = connection.read(&mut request).unwrap();
    });
    address
}

async fn append(address: SocketAddr) -> Result<lentil_core::Offset, WriteError> {
    let options = ClientOptions {
        base_url: format!("http://{address}"),
        timeout: Span::from_s(2),
    };
    let log = HttpLog::new(&options).await.unwrap();
    let record = LogRecord {
        id: RecordId::new(1),
        body: Bytes::from_static(b"claim"),
    };
    log.append(&StreamName::new("claims"), &[record]).await
}

#[ntex::test]
async fn closed_connection_is_unknown() {
    let result = append(start_closing_peer()).await;
    assert!(matches!(result, Err(WriteError::Unknown(_))), "{result:?}");
}

#[ntex::test]
async fn refused_connection_is_not_applied() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = append(address).await;
    assert!(
        matches!(result, Err(WriteError::NotApplied(_))),
        "{result:?}"
    );
}
