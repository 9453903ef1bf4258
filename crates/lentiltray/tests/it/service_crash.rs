//! A plain service crashes after it has executed a call.

use lentil_fakes::FakeService;
use lentil_site::{SERVICE, Site, SiteOptions};

use crate::caller::{Caller, block_on, completion};

#[test]
fn connection_closed_after_execution() {
    let plan = SiteOptions {
        services: 1,
        ..SiteOptions::default()
    };
    let site = Site::start(plan).unwrap();
    let entry = site.entries[0].address();
    site.services[0].crash_after(Some("sign-off"));
    block_on(async move {
        let caller = Caller::new().await;
        caller.complete(entry, &completion("warm", 1, false)).await;
        let response = caller
            .client
            .post(format!("http://{entry}/services/{SERVICE}/sign"))
            .header("idempotency-key", "hoist-9")
            .send_body("sign-off")
            .await
            .unwrap();
        let problem: serde_json::Value =
            serde_json::from_slice(&response.body().await.unwrap()).unwrap();
        assert_ne!(problem["outcome"], "not_run", "{problem}");
    });
    let executions: u64 = site.services.iter().map(FakeService::total).sum();
    assert_eq!(executions, 1);
    site.stop().unwrap();
}
