//! Serves readiness checks and metrics.

use super::answer::ResponseBody;
use crate::logs::CALLERS;
use hyper::{Response, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, time::Duration};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{sleep, timeout},
};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum lifetime of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers all requests with `answer` until the process ends.
pub(super) async fn serve(
    listener: TcpListener,
    answer: impl Fn() -> Response<ResponseBody> + Clone + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(move |_request| {
                let answer = answer();
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = timeout(CONNECTION_TIMEOUT, connection).await {
                log::debug!(target: CALLERS, error = error.to_string().as_str();
                    "A connection for readiness or metrics failed.");
            }
        });
    }
}
