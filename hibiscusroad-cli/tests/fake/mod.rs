//! A fake entry with scripted responses.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{self, Receiver},
    },
    thread,
};

/// What the fake entry does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Responds with a status and a JSON body.
    Respond(u16, String),
    /// Closes the connection without a response.
    Close,
}

/// A received request.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub authorization: Option<String>,
    pub body: String,
}

/// A fake entry.
#[derive(Debug)]
pub struct FakeEntry {
    pub address: SocketAddr,
    pub requests: Receiver<Request>,
}

impl FakeEntry {
    /// Starts an entry that performs `actions` in turn and then repeats the last.
    pub fn start(actions: Vec<Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, requests) = mpsc::channel();
        let received = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let idx = received
                    .fetch_add(1, Ordering::SeqCst)
                    .min(actions.len() - 1);
                let mut stream = stream.unwrap();
                if tx.send(read_request(&stream)).is_err() {
                    return;
                }
                if let Action::Respond(status, body) = &actions[idx] {
                    write_response(&mut stream, *status, body);
                }
            }
        });
        Self { address, requests }
    }
}

/// Returns an address at which no server listens.
pub fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn read_request(stream: &TcpStream) -> Request {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (mut authorization, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "authorization" => authorization = Some(value.to_owned()),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let body = String::from_utf8(body).unwrap();
    Request {
        path,
        authorization,
        body,
    }
}

fn write_response(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Said\r\nContent-Length: {length}\r\nConnection: close");
    write!(stream, "{head}\r\n\r\n{body}").unwrap();
}
