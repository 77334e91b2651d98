//! Answers the balancer's question whether this process takes callers.

use super::{Gateway, request::readiness};
use crate::logs::CALLERS;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, rc::Rc, time::Duration};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Pause after accepting failed.
const PAUSE: Duration = Duration::from_millis(50);
/// A connection of the balancer that asks nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(30);

/// Answers until the process ends.
pub(super) async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        spawn_local(async move {
            let service = service_fn(move |_request| {
                let answer = readiness(&gateway);
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = timeout(IDLE, connection).await {
                log::debug!(target: CALLERS, error = error.to_string().as_str();
                    "A question for readiness ended early.");
            }
        });
    }
}
