//! Announcing runs to the observers of their engines.
//!
//! All gateways place generations by the same reports of an engine. What one of them sends
//! there reaches the others in milliseconds this way, instead of with the report after next.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::TokenCount;
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tonic::transport::{Channel, Endpoint};

use crate::attempt::Job;
use crate::gateway::{Gateway, Permit};

/// Longest time for an announcement, after which it is of no use to others.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Most connections to observers. Beyond it they are all opened anew.
const CLIENTS_MAX: usize = 256;

/// Connections to the observers of engines.
#[derive(Debug, Default)]
pub(crate) struct ObserverClients {
    clients: RefCell<HashMap<SocketAddr, ObserverClient<Channel>>>,
}

impl ObserverClients {
    fn get(&self, observer: SocketAddr) -> Result<ObserverClient<Channel>, tonic::Status> {
        let mut clients = self.clients.borrow_mut();
        if let Some(client) = clients.get(&observer) {
            return Ok(client.clone());
        }
        if clients.len() >= CLIENTS_MAX {
            clients.clear();
        }
        let endpoint = Endpoint::from_shared(format!("http://{observer}"))
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?
            .connect_timeout(ANNOUNCE_TIMEOUT)
            .tcp_nodelay(true);
        let client = ObserverClient::new(endpoint.connect_lazy());
        clients.insert(observer, client.clone());
        Ok(client)
    }

    /// Calls an observer. A call that fails on a kept connection is made again on a new one, as the
    /// observer may have restarted since.
    pub(crate) async fn call<T>(
        &self,
        observer: SocketAddr,
        call: impl AsyncFn(ObserverClient<Channel>) -> Result<T, tonic::Status>,
    ) -> Result<T, tonic::Status> {
        let is_kept = self.clients.borrow().contains_key(&observer);
        let result = call(self.get(observer)?).await;
        let is_broken = |status: &tonic::Status| status.code() == tonic::Code::Unavailable;
        match result {
            Err(status) if is_broken(&status) => {
                self.close(observer);
                if !is_kept {
                    return Err(status);
                }
                call(self.get(observer)?).await
            }
            result => result,
        }
    }

    /// Closes the connection to an observer, which may have become silent.
    pub(crate) fn close(&self, observer: SocketAddr) {
        self.clients.borrow_mut().remove(&observer);
    }
}

/// Announces a generation that is being sent to an engine, without waiting.
pub(crate) fn announce(gateway: &Rc<Gateway>, job: &Job, permit: &Permit) {
    let Some((prompt, _)) = job.token_estimate() else {
        return;
    };
    if !gateway.fleet.borrow().is_adaptive(&job.service) {
        return;
    }
    let gateway = Rc::clone(gateway);
    let run = job.request.id.as_str().to_owned();
    let place = permit.place.clone();
    tokio::task::spawn_local(async move {
        let observer = gateway.observer_address(place.address);
        let announced = announce_run(&gateway.observer_clients, observer, run, prompt);
        match tokio::time::timeout(ANNOUNCE_TIMEOUT, announced).await {
            Ok(Ok(())) => {
                let now = gateway.now();
                gateway.fleet.borrow_mut().record_announced(now, place.id);
            }
            Ok(Err(status)) => {
                log::debug!(observer:% = observer; "run not announced: {status}");
                gateway.observer_clients.close(observer);
            }
            Err(_) => {
                log::debug!(observer:% = observer; "run not announced in time");
                gateway.observer_clients.close(observer);
            }
        }
    });
}

async fn announce_run(
    clients: &ObserverClients,
    observer: SocketAddr,
    run: String,
    prompt: TokenCount,
) -> Result<(), tonic::Status> {
    let request = v1::AnnounceRunRequest {
        run,
        prompt_tokens: prompt.get(),
    };
    clients.get(observer)?.announce_run(request).await?;
    Ok(())
}
