//! The way of a request through a gateway.

use std::rc::Rc;

use lentil_catalog::RouteKind;
use lentil_core::{
    ConfigVersion, NotRunProof, Outcome, Refusal, RefusalReason, Span, Time, TokenCount,
};
use lentil_fleet::{GenerationSize, PlacementRequest, RetryBudget, ZonePreference};

use crate::attempt::Job;
use crate::gateway::{Gateway, RETRY_ELSEWHERE};
use crate::relay;
use crate::request::{GatewayResponse, InboundRequest};

/// Longest time a request may take where neither caller nor route states one.
const PATIENCE_DEFAULT: Span = Span::from_s(30);

impl Gateway {
    /// Finds route and organisation of a request.
    fn admit(&self, inbound: InboundRequest, arrived: Time) -> Result<Job, Refusal> {
        let never = |reason| Refusal::not_run(NotRunProof::NeverSent, reason);
        let unknown_yet = || never(RefusalReason::LogUnavailable).retry_after(RETRY_ELSEWHERE);
        let in_force = self.in_force.borrow();
        let catalog = in_force.catalog().ok_or_else(unknown_yet)?;
        let lapsed = in_force.valid_until().has_passed(self.now());
        let not_found = |reason| if lapsed { unknown_yet() } else { never(reason) };
        let route = catalog
            .route(&inbound.host, inbound.path())
            .ok_or_else(|| not_found(RefusalReason::NotFound))?;
        let organisation = if catalog.needs_keys() && !route.public {
            let key = inbound.api_key.as_deref().unwrap_or("");
            let found = catalog.organisation(key);
            Some(found.ok_or_else(|| not_found(RefusalReason::Unauthorised))?)
        } else {
            None
        };
        let service = route
            .choose_service(inbound.id.stable_hash())
            .ok_or_else(|| never(RefusalReason::NotFound))?;
        let timeout = inbound.timeout.map_or(route.timeout, |requested| {
            Span::from_us(requested.as_us().min(route.timeout.as_us()))
        });
        let timeout = if timeout == Span::ZERO {
            PATIENCE_DEFAULT
        } else {
            timeout
        };
        let until = arrived + timeout;
        Ok(Job::new(
            route.clone(),
            service.clone(),
            organisation.map(|organisation| (organisation.id.clone(), organisation.priority)),
            catalog.version(),
            (arrived, until),
            inbound,
        ))
    }

    /// Serves one request; dropping the future cancels it.
    pub async fn serve(self: Rc<Self>, inbound: InboundRequest, arrived: Time) -> GatewayResponse {
        let id = inbound.id.clone();
        let job = match self.admit(inbound, arrived) {
            Ok(job) => Rc::new(job),
            Err(refusal) => {
                self.counters.ended("refused");
                log::info!(
                    request:% = id,
                    version:% = self.version(),
                    reason:% = refusal.reason;
                    "request refused at the door"
                );
                return GatewayResponse::Refused(refusal);
            }
        };
        self.with_budget(&job.service, RetryBudget::deposit);
        if self.poison.refuses(job.fingerprint) {
            self.counters.ended("refused");
            job.log_end(&self, "refused: it crashes the endpoints that run it");
            return GatewayResponse::Refused(job.refuse(RefusalReason::Poison, None));
        }
        let until = self.instant(job.until);
        let served = match job.route.kind {
            RouteKind::Streaming => {
                let served = relay::serve(Rc::clone(&self), Rc::clone(&job));
                tokio::time::timeout_at(until, served).await
            }
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                let served = self.serve_whole(&job);
                tokio::time::timeout_at(until, served).await
            }
        };
        let refusal = match served {
            Ok(Ok(answer)) => return answer,
            Ok(Err(refusal)) => refusal,
            Err(_) => job.refuse(RefusalReason::DeadlineExceeded, None),
        };
        self.counters.ended(match refusal.outcome() {
            Outcome::NotRun => "refused",
            Outcome::Ran | Outcome::Unknown => "failed",
        });
        job.log_end(&self, &refusal.to_string());
        GatewayResponse::Refused(refusal)
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.in_force.borrow().version()
    }

    /// What a job needs, where it goes on after `made` tokens.
    pub(crate) fn need(job: &Job, made: TokenCount) -> PlacementRequest {
        PlacementRequest {
            service: job.service.clone(),
            generation: job.generation().map(|(prompt, output)| GenerationSize {
                prompt_tokens: prompt + made,
                expected_output_tokens: output - made,
            }),
            zone_preference: ZonePreference::Local,
            jitter_seed: job.request.id.stable_hash(),
        }
    }
}
