use lentil_core::Span;
use lentil_fakes::{FakeService, ServiceOptions};
use lentil_platform::{ClientOptions, HttpClient, RequestError};
use ntex::client::Client;
use serde_json::{Value, json};

#[ntex::test]
async fn executions_are_counted_per_key() {
    let service = FakeService::start(ServiceOptions::default()).unwrap();
    let client = Client::new().await;
    let url = format!("http://{}/pickups/7/confirm", service.address());
    for _ in 0..2 {
        let response = client
            .post(&url)
            .header("idempotency-key", "pickup-7")
            .send_body("bin 7")
            .await
            .unwrap();
        let body: Value = response.json().await.unwrap();
        assert_eq!(body["echo"], json!("bin 7"));
    }
    assert_eq!(service.executions("pickup-7"), 2);
    assert_eq!((service.repeated_keys(), service.total()), (1, 2));
}

#[ntex::test]
async fn request_without_response_was_executed() {
    let service = FakeService::start(ServiceOptions::default()).unwrap();
    let options = ClientOptions {
        base_url: format!("http://{}", service.address()),
        timeout: Span::from_ms(300),
    };
    let client = HttpClient::new(&options).await.unwrap();
    service.drop_responses(1);
    let dropped = client.post::<_, Value>("/sign", &json!({})).await;
    assert!(
        matches!(dropped, Err(RequestError::Interrupted(_))),
        "{dropped:?}"
    );
    service.withhold_responses(1);
    let withheld = client.post::<_, Value>("/sign", &json!({})).await;
    assert!(
        matches!(withheld, Err(RequestError::Interrupted(_))),
        "{withheld:?}"
    );
    assert_eq!(service.total(), 2);
}

#[ntex::test]
async fn crash_breaks_calls_until_restart() {
    let service = FakeService::start(ServiceOptions::default()).unwrap();
    let options = ClientOptions {
        base_url: format!("http://{}", service.address()),
        timeout: Span::from_s(2),
    };
    let client = HttpClient::new(&options).await.unwrap();
    service.crash_before(Some("poison"));
    let crashed = client.post::<_, Value>("/x", &json!("poison")).await;
    assert!(
        matches!(crashed, Err(RequestError::Interrupted(_))),
        "{crashed:?}"
    );
    assert_eq!(service.total(), 0);
    service.crash_before(None);
    service.restart();
    let mut revived = Err(RequestError::Connect(String::new()));
    for _ in 0..200 {
        revived = client.post::<_, Value>("/x", &json!("poison")).await;
        if revived.is_ok() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert!(revived.is_ok(), "{revived:?}");
}
