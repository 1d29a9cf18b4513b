//! The service that tells which workers may run a step.

use std::time::Duration;

use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    model::{
        id::{Incarnation, WorkerId},
        job::StepId,
        order::Advised,
    },
    platform::{connections::Connections, store::chain},
};

/// How long a call may take beside the time that the service itself needs.
const CALL_SLACK: Duration = Duration::from_millis(1500);

#[derive(Serialize)]
struct WireAsk<'a> {
    step: String,
    workers: Vec<&'a WorkerId>,
}

#[derive(Deserialize)]
struct WireAdvice {
    good: Vec<(String, String)>,
}

/// A client of the service.
#[derive(Clone)]
pub(crate) struct Adviser {
    connections: Connections,
    address: String,
}

impl Adviser {
    /// A client of the service at an address.
    pub(crate) fn new(address: &str) -> Adviser {
        let connections = Connections::new(|| {
            Client::builder()
                .no_proxy()
                .tcp_nodelay(true)
                .connect_timeout(Duration::from_millis(500))
        });
        Adviser { connections, address: address.to_owned() }
    }

    /// Asks which of the workers may run a step. `needs` is how long the service itself takes.
    pub(crate) async fn ask(
        &self,
        step: StepId,
        workers: &[Incarnation],
        needs: Duration,
    ) -> Advised {
        let workers = workers.iter().map(|id| &id.worker).collect();
        let body = WireAsk { step: step.to_string(), workers };
        let url = format!("http://{}/-/advise", self.address);
        let limit = needs + CALL_SLACK;
        let request = |client: &Client| client.post(url).json(&body).timeout(limit);
        let answer = match self.connections.call(request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!("advice: step {step}: {}", chain(&error));
                return Advised::Failed;
            }
        };
        match answer.status {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Advised::Busy,
            status => {
                log::warn!("advice: step {step}: status {status}");
                return Advised::Failed;
            }
        }
        match serde_json::from_slice::<WireAdvice>(&answer.body) {
            Ok(advice) => Advised::Good(good(advice)),
            Err(error) => {
                log::warn!("advice: step {step}: not understood: {error}");
                Advised::Failed
            }
        }
    }
}

fn good(advice: WireAdvice) -> Vec<(WorkerId, String)> {
    let rows = advice.good.into_iter();
    rows.filter_map(|(id, ticket)| Some((id.parse().ok()?, ticket))).collect()
}
