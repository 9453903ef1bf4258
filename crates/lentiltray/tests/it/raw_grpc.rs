//! A gRPC client that sends frames as it likes.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RESET_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const END_HEADERS: u8 = 4;
const ACK: u8 = 1;
/// Identifier of the setting of a stream's initial window.
const INITIAL_WINDOW_SIZE: u16 = 4;
/// Windows before the peer changes them, in bytes.
const WINDOW_DEFAULT: i64 = 65_535;
const FRAME_MAX_BYTES: usize = 16 * 1024;
/// Longest wait for a larger window.
const WINDOW_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection with its windows.
pub(crate) struct RawGrpc {
    stream: TcpStream,
    connection_window: i64,
    initial_window: i64,
    stream_windows: HashMap<u32, i64>,
    next_stream: u32,
}

impl RawGrpc {
    pub(crate) fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WINDOW_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(WINDOW_TIMEOUT)).unwrap();
        let mut connection = Self {
            stream,
            connection_window: WINDOW_DEFAULT,
            initial_window: WINDOW_DEFAULT,
            stream_windows: HashMap::new(),
            next_stream: 1,
        };
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
        connection.stream.write_all(preface).unwrap();
        connection.send_frame(SETTINGS, 0, 0, &[]).unwrap();
        connection.read_frame();
        connection
    }

    /// Begins a call and announces a message of this size.
    pub(crate) fn begin(&mut self, path: &str, message_bytes: usize) -> u32 {
        let id = self.next_stream;
        self.next_stream += 2;
        self.stream_windows.insert(id, self.initial_window);
        let headers = [
            (":method", "POST"),
            (":scheme", "http"),
            (":path", path),
            (":authority", "x"),
            ("content-type", "application/grpc"),
            ("te", "trailers"),
        ];
        let mut block = Vec::new();
        for (name, value) in headers {
            // A literal that is not indexed, with a new name.
            block.push(0);
            for text in [name, value] {
                block.push(u8::try_from(text.len()).unwrap());
                block.extend_from_slice(text.as_bytes());
            }
        }
        drop(self.send_frame(HEADERS, END_HEADERS, id, &block));
        let length = u32::try_from(message_bytes).unwrap().to_be_bytes();
        self.send(id, &[&[0], &length[..]].concat());
        id
    }

    /// Sends bytes of a message as far as the peer takes them.
    pub(crate) fn send(&mut self, id: u32, bytes: &[u8]) {
        for part in bytes.chunks(FRAME_MAX_BYTES) {
            let length = i64::try_from(part.len()).unwrap();
            let give_up_at = Instant::now() + WINDOW_TIMEOUT;
            while self.has_window(id) == Some(false) {
                if Instant::now() > give_up_at || !self.read_frame() {
                    return;
                }
            }
            // The peer may have ended the call.
            let Some(window) = self.stream_windows.get_mut(&id) else {
                return;
            };
            *window -= length;
            self.connection_window -= length;
            if self.send_frame(DATA, 0, id, part).is_err() {
                return;
            }
        }
    }

    /// Returns whether a whole frame may be sent, or `None` if the peer has ended the call.
    fn has_window(&self, id: u32) -> Option<bool> {
        let frame = i64::try_from(FRAME_MAX_BYTES).unwrap();
        let window = *self.stream_windows.get(&id)?;
        Some(window >= frame && self.connection_window >= frame)
    }

    fn send_frame(&mut self, kind: u8, flags: u8, id: u32, payload: &[u8]) -> std::io::Result<()> {
        let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
        let head = [&length[1..], &[kind, flags], &id.to_be_bytes()[..]].concat();
        self.stream.write_all(&[&head, payload].concat())
    }

    /// Reads one frame; returns `false` if none comes in time.
    fn read_frame(&mut self) -> bool {
        let mut head = [0; 9];
        if self.stream.read_exact(&mut head).is_err() {
            return false;
        }
        let length = usize::from(head[0]) << 16 | usize::from(head[1]) << 8 | usize::from(head[2]);
        let (kind, flags) = (head[3], head[4]);
        let id = number(&head[5..9]);
        let mut payload = vec![0; length];
        if self.stream.read_exact(&mut payload).is_err() {
            return false;
        }
        match kind {
            WINDOW_UPDATE if id == 0 => self.connection_window += i64::from(number(&payload)),
            WINDOW_UPDATE => {
                if let Some(window) = self.stream_windows.get_mut(&id) {
                    *window += i64::from(number(&payload));
                }
            }
            SETTINGS if flags & ACK == 0 => {
                for setting in payload.chunks_exact(6) {
                    if setting[..2] == INITIAL_WINDOW_SIZE.to_be_bytes() {
                        self.initial_window = i64::from(number(&setting[2..]));
                    }
                }
                drop(self.send_frame(SETTINGS, ACK, 0, &[]));
            }
            RESET_STREAM => drop(self.stream_windows.remove(&id)),
            PING if flags & ACK == 0 => drop(self.send_frame(PING, ACK, 0, &payload)),
            _ => {}
        }
        true
    }
}

fn number(bytes: &[u8]) -> u32 {
    u32::from_be_bytes(bytes.try_into().unwrap())
}
