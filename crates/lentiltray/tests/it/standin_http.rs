//! A small HTTP server for stand-ins, which can also misbehave.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// A request as it arrived.
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
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// A value of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }
}

/// Whether a connection goes on after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    Open,
    Close,
    /// The server crashes and accepts no connection any more.
    Crash,
}

pub(crate) type Handler = dyn Fn(&Request, &mut TcpStream) -> After + Send + Sync;

/// A running server; a thread for each connection.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<AtomicUsize>,
}

impl Server {
    pub(crate) fn start(handler: Arc<Handler>) -> Self {
        Self::start_at(Ipv4Addr::LOCALHOST, handler)
    }

    /// At one of this host's own addresses.
    pub(crate) fn start_at(host: Ipv4Addr, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind((host, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let ended = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&ended);
        let open = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&open);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if seen.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let handler = Arc::clone(&handler);
                let crash = Crash {
                    address,
                    ended: Arc::clone(&seen),
                };
                let open = Arc::clone(&counted);
                open.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || {
                    converse(stream, &*handler, &crash);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            ended,
            open,
        }
    }

    /// Connections that are open now.
    pub(crate) fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        drop(TcpStream::connect(self.address));
    }
}

/// Ends a server from one of its connections.
struct Crash {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Crash {
    fn now(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes its socket.
        drop(TcpStream::connect(self.address));
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn converse(stream: TcpStream, handler: &Handler, crash: &Crash) {
    stream.set_nodelay(true).unwrap();
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let after = handler(&request, &mut writer);
        if after == After::Crash {
            crash.now();
        }
        if after != After::Open {
            drop(writer.shutdown(std::net::Shutdown::Both));
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let lines = read_head(reader)?;
    let mut words = lines.first()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
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

/// The bytes of an answer with a length.
pub(crate) fn framed(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// One chunk of a chunked body.
pub(crate) fn chunk(bytes: &str) -> Vec<u8> {
    format!("{:x}\r\n{bytes}\r\n", bytes.len()).into_bytes()
}

/// What a caller got.
#[derive(Debug, Clone)]
pub(crate) struct Got {
    pub(crate) status: u16,
    headers: Vec<(String, String)>,
    pub(crate) body: String,
    /// Whether the body ended as its framing says.
    pub(crate) whole: bool,
}

impl Got {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A caller's connection.
pub(crate) struct Line {
    reader: BufReader<TcpStream>,
}

impl Line {
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

    /// Sends a request; `head` are its lines without the empty one.
    pub(crate) fn send(&mut self, head: &str, body: &str) {
        let head = head.trim_end().replace('\n', "\r\n");
        let length = body.len();
        let text = format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}");
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next answer; `None` if the connection closes without one.
    pub(crate) fn receive(&mut self) -> Option<Got> {
        let lines = read_head(&mut self.reader)?;
        let status = lines.first()?.split(' ').nth(1)?.parse().unwrap();
        let headers = headers(&lines);
        let mut got = Got {
            status,
            headers,
            body: String::new(),
            whole: false,
        };
        if let Some(length) = got.header("content-length") {
            let mut body = vec![0; length.parse().unwrap()];
            got.whole = self.reader.read_exact(&mut body).is_ok();
            got.body = String::from_utf8_lossy(&body).into_owned();
        } else {
            self.read_chunks(&mut got);
        }
        Some(got)
    }

    fn read_chunks(&mut self, got: &mut Got) {
        loop {
            let mut size = String::new();
            if self.reader.read_line(&mut size).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                return;
            };
            let mut bytes = vec![0; size + 2];
            if self.reader.read_exact(&mut bytes).is_err() {
                return;
            }
            if size == 0 {
                got.whole = true;
                return;
            }
            got.body.push_str(&String::from_utf8_lossy(&bytes[..size]));
        }
    }
}
