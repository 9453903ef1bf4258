//! A minimal HTTP server and client. Handlers write raw bytes, so the server can also
//! send malformed responses.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// A received request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Request {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(header_name, _)| *header_name == name)
            .map(|(_, value)| value)
    }
}

/// What the server does with a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionAction {
    KeepOpen,
    Close,
    /// Close the connection and accept no further ones, like a crashed server.
    Crash,
}

pub(crate) type Handler = dyn Fn(&Request, &mut TcpStream) -> ConnectionAction + Send + Sync;

/// A running server with one thread per connection.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    stopped: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    pub(crate) fn start(handler: Arc<Handler>) -> Self {
        Self::start_at(Ipv4Addr::LOCALHOST, handler)
    }

    /// Starts a server at the given loopback address.
    pub(crate) fn start_at(host: Ipv4Addr, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind((host, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let stopped_flag = Arc::clone(&stopped);
        let open = Arc::new(AtomicUsize::new(0));
        let open_count = Arc::clone(&open);
        let accepting = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if stopped_flag.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let handler = Arc::clone(&handler);
                let crash = CrashHandle {
                    address,
                    stopped: Arc::clone(&stopped_flag),
                };
                let open = Arc::clone(&open_count);
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    serve_connection(stream, &*handler, &crash);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            stopped,
            open,
            accepting: Some(accepting),
        }
    }

    /// Number of currently open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        drop(TcpStream::connect(self.address));
        // Connections that the system has accepted for a listener would be reset when it closes.
        if let Some(accepting) = self.accepting.take() {
            drop(accepting.join());
        }
    }
}

/// Stops a server from one of its connection threads.
struct CrashHandle {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
}

impl CrashHandle {
    fn trigger(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listening socket.
        drop(TcpStream::connect(self.address));
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler, crash: &CrashHandle) {
    stream.set_nodelay(true).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let action = handler(&request, &mut writer);
        if action == ConnectionAction::Crash {
            crash.trigger();
        }
        if action != ConnectionAction::KeepOpen {
            drop(writer.shutdown(std::net::Shutdown::Both));
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let lines = read_head(reader)?;
    let mut parts = lines.first()?.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = headers(&lines);
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            return Some(lines);
        }
        lines.push(line);
    }
}

fn headers(lines: &[String]) -> Vec<(String, String)> {
    lines[1..]
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect()
}

/// Encodes a response with a `Content-Length` header.
pub(crate) fn response_with_length(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// How the end of a response is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a `Content-Length` header.
    Length,
    Chunks,
    /// By the end of the connection.
    Neither,
}

impl Framing {
    pub(crate) const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Neither];

    /// Encodes the head of a response. `length` is used only where the framing states it.
    pub(crate) fn head(self, status: u16, headers: &str, length: usize) -> Vec<u8> {
        let framing = match self {
            Self::Length => format!("Content-Length: {length}\r\n"),
            Self::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            Self::Neither => String::new(),
        };
        format!("HTTP/1.1 {status} X\r\n{headers}{framing}\r\n").into_bytes()
    }

    /// Encodes a part of a body.
    pub(crate) fn part(self, text: &str) -> Vec<u8> {
        match self {
            Self::Chunks => chunk(text),
            Self::Length | Self::Neither => text.as_bytes().to_vec(),
        }
    }

    /// Encodes a whole response.
    pub(crate) fn response(self, status: u16, headers: &str, body: &str) -> Vec<u8> {
        let end: &[u8] = if self == Self::Chunks {
            b"0\r\n\r\n"
        } else {
            b""
        };
        let head = self.head(status, headers, body.len());
        [head, self.part(body), end.to_vec()].concat()
    }
}

/// Encodes one chunk of a chunked body.
pub(crate) fn chunk(bytes: &str) -> Vec<u8> {
    format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes()
}

/// A response as the client received it.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Whether the body is complete according to its framing.
    pub(crate) complete: bool,
}

impl ReceivedResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A client connection.
pub(crate) struct ClientConnection {
    reader: BufReader<TcpStream>,
}

impl ClientConnection {
    pub(crate) fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Sends a request; `head` holds the request line and headers, without the empty line.
    pub(crate) fn send(&mut self, head: &str, body: &str) {
        let head = head.trim_end().replace('\n', "\r\n");
        let length = body.len();
        let text = format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}");
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends bytes as they are.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// Reads the next response; `None` if the connection closes without one.
    pub(crate) fn receive(&mut self) -> Option<ReceivedResponse> {
        let mut response = self.receive_head()?;
        self.receive_body(&mut response);
        Some(response)
    }

    /// Reads the head of the next response; `None` if the connection closes without one.
    pub(crate) fn receive_head(&mut self) -> Option<ReceivedResponse> {
        let lines = read_head(&mut self.reader)?;
        Some(ReceivedResponse {
            status: lines.first()?.split(' ').nth(1)?.parse().unwrap(),
            headers: headers(&lines),
            body: String::new(),
            complete: false,
        })
    }

    /// Reads the body that follows a head.
    pub(crate) fn receive_body(&mut self, response: &mut ReceivedResponse) {
        if let Some(length) = response.header("content-length") {
            let mut body = vec![0; length.parse().unwrap()];
            response.complete = self.reader.read_exact(&mut body).is_ok();
            response.body = String::from_utf8_lossy(&body).into_owned();
        } else {
            while self.receive_chunk(response) {}
        }
    }

    /// Reads one chunk of a body. Returns whether more may follow.
    pub(crate) fn receive_chunk(&mut self, response: &mut ReceivedResponse) -> bool {
        let mut size = String::new();
        if self.reader.read_line(&mut size).unwrap_or(0) == 0 {
            return false;
        }
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return false;
        };
        let mut bytes = vec![0; size + 2];
        if self.reader.read_exact(&mut bytes).is_err() {
            return false;
        }
        response.complete = size == 0;
        let text = String::from_utf8_lossy(&bytes[..size]);
        response.body.push_str(&text);
        !response.complete
    }
}
