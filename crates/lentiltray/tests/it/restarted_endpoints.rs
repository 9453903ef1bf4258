//! Endpoints are back at their addresses with new ids, which a gateway has not read yet.

use std::net::TcpStream;

use crate::fake_http::{ConnectionAction, Request, response_with_length};
use crate::gateway_harness::{Replica, Site, write_response};

/// Number of endpoints that have restarted.
const ENDPOINTS: usize = 24;
/// The limits of the retry budget in the test: retries for each request, and further ones.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 8.0;
/// Number of requests.
const REQUESTS: u8 = 6;

/// Answers that the request names another endpoint.
fn misdirected(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    let id = request.header("attempt-id").unwrap_or("");
    let headers = format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n");
    write_response(stream, &response_with_length(421, &headers, b""))
}

/// A request went from one endpoint to the next, each of which answered 421: after a loss of power all
/// gateways together exceeded the budget for retries.
#[test]
fn misdirected_within_budget() {
    let endpoints: Vec<_> = (0..ENDPOINTS)
        .map(|number| Replica::start(&format!("i-{number}"), misdirected))
        .collect();
    let listed: Vec<_> = endpoints.iter().map(|it| (it, "desk")).collect();
    let bounds = format!("retry_ratio: {RETRY_RATIO}, retry_slack: {RETRY_SLACK}");
    let site = Site::start_bounded("misdirected", &listed, 1, &bounds);
    for number in 0..REQUESTS {
        let answer = site.call("/confirm/a", &format!("r{number}"), "").unwrap();
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
    }
    let arrivals: usize = endpoints.iter().map(|it| it.requests().len()).sum();
    let allowed = f64::from(REQUESTS) * (1.0 + RETRY_RATIO) + RETRY_SLACK;
    let arrivals = f64::from(u32::try_from(arrivals).unwrap());
    assert!(
        arrivals <= allowed,
        "{arrivals} arrivals, {allowed} allowed"
    );
}
