//! Connections that peers dialled: they are accepted, greeted and carried.

use super::handshake::split;
use super::Transport;
use crate::net::fleet::frame::ConnectionError;
use crate::net::runtime::capacity::ACCEPT_RETRY_DELAY;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

impl Transport {
    /// Accepts connections for as long as the front door runs.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.accepted.get() < self.section.accepted => {
                    let transport = self.clone();
                    self.accepted.set(self.accepted.get() + 1);
                    tokio::task::spawn_local(async move {
                        transport.answer(stream).await;
                        transport.accepted.set(transport.accepted.get() - 1);
                    });
                }
                Ok(_) => self.counters.borrow_mut().crowded += 1,
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    async fn answer(self: &Rc<Self>, stream: TcpStream) {
        // Without it frames are late, not wrong.
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = split(stream, self.codec);
        let greeting = async {
            let hello = self.receive_hello(&mut reader).await?;
            self.send_hello(&mut writer, &hello.name).await?;
            Ok::<_, ConnectionError>(hello)
        };
        let hello = match timeout(Duration::from_millis(self.section.hello_ms), greeting).await {
            Ok(Ok(hello)) => hello,
            Ok(Err(ConnectionError::Frame(why))) => {
                return self.counters.borrow_mut().record_rejected(why)
            }
            Ok(Err(ConnectionError::Io(_))) => return,
            Err(_elapsed) => return self.counters.borrow_mut().silent += 1,
        };
        let Some(peer) = self.peer(&hello.name) else {
            return self.counters.borrow_mut().crowded += 1;
        };
        let ours = peer
            .link
            .borrow()
            .as_ref()
            .is_some_and(|link| link.dialled && link.life == hello.life);
        if ours && *self.section.own < *peer.name {
            return self.clone().drain(peer, reader, writer).await;
        }
        self.run_link(&peer, reader, writer, false, hello.life)
            .await;
        self.forget(&peer);
    }
}
