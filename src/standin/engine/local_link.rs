//! The order interface of a stand-in engine within the same process.

use {
    super::StandinEngine,
    crate::engine::{Engine, EngineError, EngineStatus, Order, OrderReply},
    futures::future::{BoxFuture, FutureExt},
    std::time::Duration,
    tokio::time::sleep,
};

/// How long a caller in the same process waits for an answer that never comes, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 2_000;

impl Engine for StandinEngine {
    fn send(&self, order: Order) -> BoxFuture<'_, Result<OrderReply, EngineError>> {
        async move {
            self.check_link().await?;
            let reply = self.receive(order).await;
            reply.map_err(|cause| EngineError::Unknown(cause.to_string()))
        }
        .boxed()
    }

    fn status(&self) -> BoxFuture<'_, Result<EngineStatus, EngineError>> {
        async move {
            self.check_link().await?;
            Ok(self.read_status())
        }
        .boxed()
    }
}

impl StandinEngine {
    async fn check_link(&self) -> Result<(), EngineError> {
        let faults = self.faults();
        if faults.down {
            return Err(EngineError::Unreachable("connection refused".to_owned()));
        }
        if faults.silent {
            sleep(Duration::from_millis(ANSWER_TIMEOUT_MS)).await;
            return Err(EngineError::Unknown("no answer in time".to_owned()));
        }
        Ok(())
    }
}
