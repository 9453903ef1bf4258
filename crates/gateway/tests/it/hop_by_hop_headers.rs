//! Hop-by-hop headers are not forwarded.

use http::HeaderMap;
use lentil_gateway::strip_hop_by_hop;

#[test]
fn listed_in_connection_header() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "X-Hop, keep-alive"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "4"),
        ("x-mine", "kept"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let passed = strip_hop_by_hop(headers);
    let names: Vec<_> = passed.keys().map(http::HeaderName::as_str).collect();
    assert_eq!(names, ["x-mine"]);
}
