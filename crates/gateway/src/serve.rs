//! Admission and routing of requests.

use std::rc::Rc;

use lentil_catalog::RouteKind;
use lentil_core::{
    ConfigVersion, NotRunProof, Outcome, Refusal, RefusalReason, Span, Time, TokenCount,
};
use lentil_fleet::{GenerationSize, PlacementRequest, RetryBudget, ZonePreference};

use crate::attempt::Job;
use crate::gateway::{Gateway, RETRY_AFTER_STORE_FAILURE};
use crate::relay;
use crate::request::{GatewayResponse, InboundRequest};

/// Request timeout if neither the caller nor the route sets one.
pub(crate) const DEFAULT_TIMEOUT: Span = Span::from_s(30);

impl Gateway {
    /// Resolves the route, service, organisation and deadline of a request.
    fn admit(&self, inbound: InboundRequest, arrived: Time) -> Result<Job, Refusal> {
        let not_sent = |reason| Refusal::not_run(NotRunProof::NeverSent, reason);
        let config_unavailable =
            || not_sent(RefusalReason::LogUnavailable).retry_after(RETRY_AFTER_STORE_FAILURE);
        let active_config = self.active_config.borrow();
        let catalog = active_config.catalog().ok_or_else(config_unavailable)?;
        let config_expired = active_config.valid_until().has_passed(self.now());
        let not_found = |reason| {
            if config_expired {
                config_unavailable()
            } else {
                not_sent(reason)
            }
        };
        let route = catalog
            .route(&inbound.host, inbound.path())
            .ok_or_else(|| not_found(RefusalReason::NotFound))?;
        let organisation = if catalog.needs_keys() && !route.public {
            let key = inbound.api_key.as_deref().unwrap_or("");
            let found = catalog.organisation(key);
            let refusal = || {
                if catalog.is_unusable_key(key) {
                    config_unavailable()
                } else {
                    not_found(RefusalReason::Unauthorised)
                }
            };
            Some(found.ok_or_else(refusal)?)
        } else {
            None
        };
        let service = route
            .choose_service(inbound.first_attempt().stable_hash())
            .ok_or_else(|| not_sent(RefusalReason::NotFound))?;
        let timeout = inbound.timeout.map_or(route.timeout, |requested| {
            Span::from_us(requested.as_us().min(route.timeout.as_us()))
        });
        let timeout = if timeout == Span::ZERO {
            DEFAULT_TIMEOUT
        } else {
            timeout
        };
        let deadline = arrived + timeout;
        Ok(Job::new(
            route.clone(),
            service.clone(),
            organisation.map(|organisation| (organisation.id.clone(), organisation.priority)),
            catalog.version(),
            (arrived, deadline),
            inbound,
        ))
    }

    /// Serves one request. Dropping the future cancels the request.
    pub async fn serve(self: Rc<Self>, inbound: InboundRequest, arrived: Time) -> GatewayResponse {
        let id = inbound.id.clone();
        let job = match self.admit(inbound, arrived) {
            Ok(job) => Rc::new(job),
            Err(refusal) => {
                self.metrics.count_request("refused");
                log::info!(
                    request:% = id,
                    version:% = self.version(),
                    reason:% = refusal.reason;
                    "request refused at admission"
                );
                return GatewayResponse::Refused(refusal);
            }
        };
        self.with_retry_budget(&job.service, RetryBudget::deposit);
        self.rollouts.record_arrival(&job.service);
        if let Err(refusal) = job.check_poison(&self) {
            self.metrics.count_request("refused");
            job.log_outcome(&self, &refusal.to_string());
            return GatewayResponse::Refused(refusal);
        }
        let refusal = match self.serve_in_time(&job).await {
            Ok(response) => return response,
            Err(refusal) => refusal,
        };
        self.metrics.count_request(match refusal.outcome() {
            Outcome::NotRun => "refused",
            Outcome::Ran | Outcome::Unknown => "failed",
        });
        job.log_outcome(&self, &refusal.to_string());
        GatewayResponse::Refused(refusal)
    }

    /// Serves a request until its deadline, or until the gateway stops.
    async fn serve_in_time(self: &Rc<Self>, job: &Rc<Job>) -> Result<GatewayResponse, Refusal> {
        if !self.ends_before_stop(self.now(), &job.route) {
            return Err(job.refuse(RefusalReason::Stopping, None));
        }
        let deadline = self.instant(job.deadline);
        let served = async {
            match job.route.kind {
                RouteKind::Streaming => relay::serve_stream(Rc::clone(self), Rc::clone(job)).await,
                RouteKind::Idempotent | RouteKind::NonIdempotent => self.serve_buffered(job).await,
            }
        };
        tokio::select! {
            served = tokio::time::timeout_at(deadline, served) => {
                served.unwrap_or_else(|_| Err(job.refuse(RefusalReason::DeadlineExceeded, None)))
            }
            () = self.last_answers_due() => Err(job.refuse(RefusalReason::Stopping, None)),
        }
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.active_config.borrow().version()
    }

    /// Returns the capacity that a job needs if it continues after
    /// `generated_tokens` tokens.
    pub(crate) fn need(job: &Job, generated_tokens: TokenCount) -> PlacementRequest {
        PlacementRequest {
            service: job.service.clone(),
            generation: job.token_estimate().map(|(prompt, output)| GenerationSize {
                prompt_tokens: prompt + generated_tokens,
                expected_output_tokens: output - generated_tokens,
            }),
            zone_preference: ZonePreference::Local,
            jitter_seed: job.request.id.stable_hash(),
            wanted_by: (generated_tokens == TokenCount::ZERO)
                .then(|| job.arrived + job.route.target_latency),
            priority: job.rank,
            gap_target: job.route.gap_target,
            version: job.version_need(),
        }
    }
}
