//! Client of the advice service, which decides which workers may run a step.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    model::{
        id::{Incarnation, WorkerId},
        job::StepId,
        order::AdviceResult,
    },
    platform::{connections::Connections, store::chain},
};

/// Allowance on top of the service's own processing time before a call times out.
const CALL_ALLOWANCE: Duration = Duration::from_millis(1500);

#[derive(Serialize)]
struct WireAdviceRequest<'a> {
    step: String,
    workers: Vec<&'a WorkerId>,
}

#[derive(Deserialize)]
struct WireAdvice {
    good: Vec<(String, String)>,
}

/// A client of the service.
#[derive(Clone)]
pub(crate) struct AdviceClient {
    connections: Connections,
    address: String,
}

impl AdviceClient {
    /// Creates a client of the service at `address`.
    pub(crate) fn new(address: &str) -> AdviceClient {
        let connections = Connections::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(Duration::from_millis(500))
        });
        AdviceClient { connections, address: address.to_owned() }
    }

    /// Asks which of the workers may run a step. `service_time` is the service's own processing
    /// time.
    pub(crate) async fn ask(
        &self,
        step: StepId,
        workers: &[Incarnation],
        service_time: Duration,
    ) -> AdviceResult {
        let workers = workers.iter().map(|id| &id.worker).collect();
        let body = WireAdviceRequest { step: step.to_string(), workers };
        let url = format!("http://{}/-/advise", self.address);
        let timeout = service_time + CALL_ALLOWANCE;
        let request = |client: &Client| client.post(url).json(&body).timeout(timeout);
        let answer = match self.connections.call(request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("advice: step {step}: {}", chain(&error));
                return AdviceResult::Failed;
            }
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return AdviceResult::Busy,
            status => {
                log::warn!("advice: step {step}: status {status}");
                return AdviceResult::Failed;
            }
        }
        match serde_json::from_slice::<WireAdvice>(&answer.body) {
            Ok(advice) => AdviceResult::Granted(granted_tickets(advice)),
            Err(error) => {
                log::warn!("advice: step {step}: invalid answer: {error}");
                AdviceResult::Failed
            }
        }
    }
}

fn granted_tickets(advice: WireAdvice) -> Vec<(WorkerId, String)> {
    let rows = advice.good.into_iter();
    rows.filter_map(|(id, ticket)| Some((id.parse().ok()?, ticket))).collect()
}
