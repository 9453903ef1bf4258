use lentil_core::{ByteCount, Span};
use lentil_fakes::{FakeWeightStore, WeightStoreOptions};
use lentil_platform::{ClientOptions, HttpWeightStore, ReadError, RequestError, WeightStore};

#[ntex::test]
async fn rate_limit_is_shared_by_fetches() {
    let store = FakeWeightStore::start(WeightStoreOptions {
        size: ByteCount::new(1_000),
        bytes_per_second: 1_000,
        wait_max: Span::from_s(1),
    })
    .unwrap();
    let options = ClientOptions {
        base_url: format!("http://{}", store.address()),
        timeout: Span::from_s(5),
    };
    let client = HttpWeightStore::new(&options).await.unwrap();
    let model = "lentil-small".parse().unwrap();
    let (first, second) =
        futures_util::future::join(client.fetch(&model, "v1"), client.fetch(&model, "v1")).await;
    let refused = Err(ReadError(RequestError::Status { status: 429 }));
    let served = Ok(ByteCount::new(1_000));
    let mut answers = [first, second];
    answers.sort_by_key(Result::is_err);
    assert_eq!(answers, [served, refused]);
    assert_eq!((store.fetches(), store.refusals()), (1, 1));
}
