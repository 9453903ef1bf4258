//! A day with presets, availability zones and organisations.

use lentil_site::{Site, SiteOptions};

use crate::operator::Operator;

const CALLS: [&str; 17] = [
    "preset list",
    "preset use peak --why month-end --wait",
    "preset use unknown --why typo",
    "preset diff ordinary peak",
    "zone out zone-a --why power --dry-run",
    "zone out zone-a --why power --wait",
    "zone status",
    "zone out zone-a --why again",
    "zone out zone-b --why power",
    "endpoint status",
    "endpoint out pickups-1 --why disk",
    "endpoint out pickups-1 --why disk --force --wait",
    "zone in zone-a --why done --wait",
    "preset use ordinary --why stale --base 1",
    "organisation list",
    "old-system share 1001 --why typo",
    "status",
];

#[test]
fn calls_and_answers() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let mut operator = Operator::new(&site);
    for call in CALLS {
        operator.run(call);
    }
    insta::assert_snapshot!(operator.transcript());
    site.stop().unwrap();
}
