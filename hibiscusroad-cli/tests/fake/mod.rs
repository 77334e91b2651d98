//! A small entry whose answers are laid down beforehand.

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

/// What a fake does with one request.
#[derive(Clone, Debug)]
pub enum Deed {
    /// Answers with this status and JSON.
    Say(u16, String),
    /// Reads the request and closes the connection.
    Drop,
}

/// One request as it came in.
#[derive(Debug)]
pub struct Seen {
    pub path: String,
    pub token: Option<String>,
    pub body: String,
}

/// A fake entry.
#[derive(Debug)]
pub struct Fake {
    pub address: SocketAddr,
    pub seen: Receiver<Seen>,
}

impl Fake {
    /// Starts a fake that does `deeds` in turn and the last one for ever.
    pub fn start(deeds: Vec<Deed>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, seen) = mpsc::channel();
        let count = Arc::new(AtomicUsize::new(0));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let n = count.fetch_add(1, Ordering::SeqCst).min(deeds.len() - 1);
                let mut stream = stream.unwrap();
                if tx.send(read(&stream)).is_err() {
                    return;
                }
                if let Deed::Say(status, body) = &deeds[n] {
                    answer(&mut stream, *status, body);
                }
            }
        });
        Self { address, seen }
    }
}

/// Returns an address on which nobody listens.
pub fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn read(stream: &TcpStream) -> Seen {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let (mut token, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "authorization" => token = Some(value.to_owned()),
            "content-length" => length = value.parse().unwrap(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    let body = String::from_utf8(body).unwrap();
    Seen { path, token, body }
}

fn answer(stream: &mut TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Said\r\nContent-Length: {length}\r\nConnection: close");
    write!(stream, "{head}\r\n\r\n{body}").unwrap();
}
