//! The handshake: the first frame in each direction, which names the sender and the receiver that
//! it means.

use super::Transport;
use crate::net::fleet::frame::{encode_body, ConnectionError, FrameCodec, FrameError, FrameKind};
use serde::{Deserialize, Serialize};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio_stream::StreamExt;
use tokio_util::codec::FramedRead;

/// Bytes that are read from a connection at a time.
const READ_BUFFER_BYTES: usize = 4096;

/// The half of a connection that frames are read from.
pub(super) type FrameReader = FramedRead<OwnedReadHalf, FrameCodec>;

/// The body of a handshake's frame. The order of the fields is the order on the wire.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    /// The sender's name.
    pub(super) name: String,
    /// The name of the gateway that the sender means: its address may have passed to another.
    pub(super) to: String,
    /// The sender's instance id, drawn at its start.
    pub(super) instance_id: u64,
}

/// Why a handshake failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandshakeError {
    /// No hello could be read or written.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// The hello is meant for another gateway, or comes from another than was dialed.
    #[error("the hello is not from, or not for, the expected gateway")]
    WrongName,
}

impl From<FrameError> for HandshakeError {
    fn from(error: FrameError) -> HandshakeError {
        HandshakeError::Connection(error.into())
    }
}

impl From<io::Error> for HandshakeError {
    fn from(error: io::Error) -> HandshakeError {
        HandshakeError::Connection(error.into())
    }
}

/// The two halves of a connection on which no frame was read yet.
pub(super) struct ConnectionHalves {
    pub(super) reader: FrameReader,
    pub(super) writer: OwnedWriteHalf,
}

/// A connection after its handshake.
pub(super) struct EstablishedConnection {
    pub(super) reader: FrameReader,
    pub(super) writer: OwnedWriteHalf,
    /// The instance id of the process at the other end.
    pub(super) instance_id: u64,
}

impl ConnectionHalves {
    /// Splits a connection.
    pub(super) fn new(stream: TcpStream, codec: FrameCodec) -> ConnectionHalves {
        let (reader, writer) = stream.into_split();
        ConnectionHalves {
            reader: FramedRead::with_capacity(reader, codec, READ_BUFFER_BYTES),
            writer,
        }
    }

    /// The connection after a handshake with the process that has this instance id.
    pub(super) fn establish(self, instance_id: u64) -> EstablishedConnection {
        EstablishedConnection {
            reader: self.reader,
            writer: self.writer,
            instance_id,
        }
    }
}

impl Transport {
    /// Sends this gateway's hello to the one called `to`.
    pub(super) async fn send_hello(
        &self,
        writer: &mut OwnedWriteHalf,
        to: &str,
    ) -> Result<(), HandshakeError> {
        let hello = Hello {
            name: self.section.local_name.clone(),
            to: to.to_owned(),
            instance_id: self.instance_id,
        };
        let body = encode_body(&hello);
        let frame = self
            .codec
            .encode(FrameKind::Hello, &body)
            .ok_or(FrameError::TooLong(0))?;
        writer.write_all(&frame).await?;
        Ok(())
    }

    /// Receives the peer's hello. One that does not mean this gateway is counted.
    pub(super) async fn receive_hello(
        &self,
        reader: &mut FrameReader,
    ) -> Result<Hello, HandshakeError> {
        let frame = reader
            .next()
            .await
            .ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))??;
        if frame.kind != Some(FrameKind::Hello) {
            return Err(FrameError::Magic.into());
        }
        let hello: Hello = frame.decode_body().ok_or(FrameError::Magic)?;
        if hello.to != self.section.local_name || hello.name == self.section.local_name {
            self.counters.borrow_mut().wrong_name += 1;
            return Err(HandshakeError::WrongName);
        }
        Ok(hello)
    }
}
