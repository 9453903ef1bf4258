//! Route matching and catalog validation.

use lentil_catalog::{Catalog, CatalogError, WeightedService};

use crate::fixtures::{catalog, route, spec};

#[test]
fn longest_prefix_matches() {
    let routes = vec![
        route("h", "/", "a"),
        route("h", "/x/y/", "b"),
        route("h", "/x/", "a"),
    ];
    let catalog = catalog(1, routes);
    let matched_prefix = |path: &str| {
        catalog
            .route("H", path)
            .map(|route| route.path_prefix.as_str())
    };
    assert_eq!(matched_prefix("/x/y/z"), Some("/x/y/"));
    assert_eq!(matched_prefix("/x/yz"), Some("/x/"));
    assert_eq!(matched_prefix("/q"), Some("/"));
    assert!(catalog.route("other", "/x/").is_none());
}

#[test]
fn api_key_identifies_organisation() {
    let catalog = catalog(1, vec![route("h", "/", "a")]);
    assert_eq!(catalog.organisation("k2").unwrap().id.as_str(), "council");
    assert!(catalog.organisation("k3").is_none());
    assert!(catalog.needs_keys());
}

#[test]
fn requests_are_split_by_weight() {
    let mut route = route("h", "/", "a");
    route.weighted_services.push(WeightedService {
        service: "b".parse().unwrap(),
        weight: 3,
    });
    let to_b = (0..400)
        .filter(|random| route.choose_service(*random).unwrap().as_str() == "b")
        .count();
    assert_eq!(to_b, 300);
}

#[test]
fn invalid_specs_are_rejected() {
    let error = |routes| Catalog::try_from(spec(1, routes)).unwrap_err();
    assert!(matches!(
        error(vec![route("h", "/x", "a")]),
        CatalogError::PathPrefix { .. }
    ));
    assert!(matches!(
        error(vec![route("h", "/", "c")]),
        CatalogError::UnknownService { .. }
    ));
    let mut zero_weight = route("h", "/", "a");
    zero_weight.weighted_services[0].weight = 0;
    assert!(matches!(
        error(vec![zero_weight]),
        CatalogError::NoService { .. }
    ));
}
