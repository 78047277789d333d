//! One end of an HTTP/1.1 connection that a test reads from and writes to message by message.

use super::{wait_for, MAX_WAIT};
use socket2::SockRef;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response as received.
#[derive(Debug)]
pub struct Message {
    /// The request line of a request, or the status line of a response.
    pub start_line: String,
    /// The headers, by lower-case name.
    pub headers: HashMap<String, String>,
    /// The complete body; empty without `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// The status code of a response.
    ///
    /// # Panics
    ///
    /// Panics if the start line has no status code.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .expect("a status code")
    }

    /// The value of a header, by lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The timeout that a request grants to a backend, in seconds.
    ///
    /// # Panics
    ///
    /// Panics if the message has no `Request-Timeout` in seconds.
    pub fn granted_timeout(&self) -> f64 {
        self.header("request-timeout")
            .expect("a timeout")
            .parse()
            .expect("seconds")
    }
}

/// One end of a TCP connection to or from the gateway.
pub struct ScriptedConnection {
    /// The stream, with a buffer of bytes that have been received but not read by the test yet.
    pub reader: BufReader<TcpStream>,
}

impl ScriptedConnection {
    /// Wraps an open stream. Reads from the stream time out after [`MAX_WAIT`].
    pub fn new(stream: TcpStream) -> ScriptedConnection {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        ScriptedConnection {
            reader: BufReader::new(stream),
        }
    }

    /// Connects to an address on which a gateway accepts connections.
    pub fn connect(address: SocketAddr) -> ScriptedConnection {
        ScriptedConnection::new(TcpStream::connect(address).expect("the gateway accepts"))
    }

    /// Writes all of these bytes.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader
            .get_mut()
            .write_all(bytes.as_ref())
            .expect("the peer reads");
    }

    /// Reads the next message with its complete body, whose length is that of `Content-Length`.
    ///
    /// # Panics
    ///
    /// Panics if the connection closes first, or if the message is malformed.
    pub fn read(&mut self) -> Message {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a start line");
        assert!(
            !line.is_empty(),
            "the connection closed where a message was expected"
        );
        let start_line = line.trim_end().to_owned();
        let mut headers = HashMap::new();
        loop {
            line.clear();
            self.reader.read_line(&mut line).expect("a header");
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers
            .get("content-length")
            .map_or(0, |text| text.parse().expect("a length"));
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("a complete body");
        Message {
            start_line,
            headers,
            body,
        }
    }

    /// Writes a response with a status, further header lines (each with its CRLF) and a body.
    pub fn respond(&mut self, status: u16, headers: &str, body: &str) {
        self.write(format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// Makes a later close of this connection send a TCP reset.
    pub fn reset_on_close(&self) {
        SockRef::from(self.reader.get_ref())
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
    }

    /// Waits for the peer to send a byte. Returns `false` if the peer sends none within `time`, or closes.
    pub fn receives_within(&self, time: Duration) -> bool {
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(time)).unwrap();
        let received = matches!(stream.peek(&mut [0]), Ok(1));
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        received
    }

    /// Whether the peer has sent bytes that are not read yet, or has closed.
    pub fn is_readable(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let readable = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        readable
    }

    /// Waits until this connection or `other` is readable. Returns `true` if it is this connection.
    pub fn is_readable_before(&self, other: &ScriptedConnection) -> bool {
        wait_for("data on one of two connections", || {
            if self.is_readable() {
                Some(true)
            } else {
                other.is_readable().then_some(false)
            }
        })
    }

    /// Waits until the peer has closed or reset the connection.
    ///
    /// # Panics
    ///
    /// Panics if the peer sends anything more before it closes.
    pub fn expect_close(&mut self) {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => assert_eq!(String::from_utf8_lossy(&rest), ""),
            Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{error}"),
        }
    }
}

/// The open response of a discovery service to a watch request.
pub struct WatchStream {
    /// The connection on which the watch was requested.
    pub connection: ScriptedConnection,
}

impl WatchStream {
    /// Begins the chunked response to a watch request. The request must have been read from the connection: a response
    /// that comes before its request makes the gateway's HTTP client close the connection.
    pub fn begin_response(mut connection: ScriptedConnection) -> WatchStream {
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        WatchStream { connection }
    }

    /// Sends one line as a chunk of its own. An empty line is a heartbeat.
    pub fn send_line(&mut self, text: &str) {
        self.connection
            .write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1));
    }

    /// Ends the response with its last chunk and closes the connection.
    pub fn finish(mut self) {
        self.connection.write("0\r\n\r\n");
    }
}
