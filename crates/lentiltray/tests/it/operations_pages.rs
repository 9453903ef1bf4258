//! The operations pages: metrics, health, readiness and status.

use std::net::SocketAddr;

use ntex::client::Client;

use crate::caller::{Caller, block_on, completion, read_events};
use crate::daemon_process::DaemonPair;

const OPERATOR_KEY: &str = "an-operator-key-for-tests";

async fn get(address: SocketAddr, path: &str, key: Option<&str>) -> (u16, String) {
    let mut request = Client::new().await.get(format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let response = request.send().await.unwrap();
    let body = response.body().await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    (response.status().as_u16(), text)
}

#[test]
fn pages_show_state() {
    let security = format!("security: {{anonymous_callers: true, operator_key: {OPERATOR_KEY}}}\n");
    let daemons = DaemonPair::start("pages-answer", &security);
    let callers = daemons.entry.address("callers");
    let pages = daemons.entry.address("operations");
    let agent = daemons.agent.address("operations");
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("a status", 5, true);
        read_events(&mut caller.complete(callers, &body).await, usize::MAX).await;
        assert_eq!(get(pages, "/healthz", None).await.0, 200);
        assert_eq!(get(pages, "/readyz", None).await.0, 200);
        let (status, metrics) = get(pages, "/metrics", Some(OPERATOR_KEY)).await;
        assert_eq!(status, 200);
        for line in [
            "lentiltray_tokens_total 5",
            "lentiltray_open_streams 0",
            "lentiltray_first_token_seconds_count 1",
            "lentiltray_requests_total{route=\"completions\",status=\"200\"} 1",
            "lentiltray_exposure{kind=\"plain_text\"} 1",
            "# EOF",
        ] {
            assert!(metrics.contains(line), "{line} is not in\n{metrics}");
        }
        let (_, metrics) = get(agent, "/metrics", Some(OPERATOR_KEY)).await;
        assert!(
            metrics.contains("lentiltray_endpoint_tokens_total 5"),
            "{metrics}"
        );
        let (_, page) = get(agent, "/status", Some(OPERATOR_KEY)).await;
        let page: serde_json::Value = serde_json::from_str(&page).unwrap();
        assert_eq!(
            (&page["role"], &page["ready"]),
            (&"agent".into(), &true.into())
        );
    });
    drop(daemons);
}

#[test]
fn pages_need_the_key() {
    let security = format!("security: {{anonymous_callers: true, operator_key: {OPERATOR_KEY}}}\n");
    let daemons = DaemonPair::start("pages-key", &security);
    let pages = daemons.entry.address("operations");
    block_on(async move {
        for path in ["/metrics", "/status"] {
            for key in [None, Some("an-operator-key-for-testz"), Some("")] {
                assert_eq!(get(pages, path, key).await.0, 401, "{path} {key:?}");
            }
            assert_eq!(get(pages, path, Some(OPERATOR_KEY)).await.0, 200, "{path}");
        }
    });
    drop(daemons);
}
