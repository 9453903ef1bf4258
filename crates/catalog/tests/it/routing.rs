//! Which route a request takes, and which versions are refused.

use lentil_catalog::{Catalog, CatalogError, WeightedService};

use crate::build::{catalog, draft, route};

#[test]
fn longest_wins() {
    let routes = vec![
        route("h", "/", "a"),
        route("h", "/x/y/", "b"),
        route("h", "/x/", "a"),
    ];
    let catalog = catalog(1, routes);
    let prefix = |path: &str| {
        catalog
            .route("H", path)
            .map(|route| route.path_prefix.as_str())
    };
    assert_eq!(prefix("/x/y/z"), Some("/x/y/"));
    assert_eq!(prefix("/x/yz"), Some("/x/"));
    assert_eq!(prefix("/q"), Some("/"));
    assert!(catalog.route("other", "/x/").is_none());
}

#[test]
fn keys_name_organisations() {
    let catalog = catalog(1, vec![route("h", "/", "a")]);
    assert_eq!(catalog.organisation("k2").unwrap().id.as_str(), "council");
    assert!(catalog.organisation("k3").is_none());
    assert!(catalog.needs_keys());
}

#[test]
fn weights_split() {
    let mut route = route("h", "/", "a");
    route.weighted_services.push(WeightedService {
        service: "b".parse().unwrap(),
        weight: 3,
    });
    let to_b = (0..400)
        .filter(|draw| route.choose_service(*draw).unwrap().as_str() == "b")
        .count();
    assert_eq!(to_b, 300);
}

#[test]
fn wrong_versions() {
    let refused = |routes| Catalog::try_from(draft(1, routes)).unwrap_err();
    assert!(matches!(
        refused(vec![route("h", "/x", "a")]),
        CatalogError::PathPrefix { .. }
    ));
    assert!(matches!(
        refused(vec![route("h", "/", "c")]),
        CatalogError::UnknownService { .. }
    ));
    let mut empty = route("h", "/", "a");
    empty.weighted_services[0].weight = 0;
    assert!(matches!(
        refused(vec![empty]),
        CatalogError::NoService { .. }
    ));
}
