//! A sequence of commands on presets, availability zones, endpoints and
//! organisations, whose output is compared with a snapshot.

use lentil_site::{Site, SiteOptions};

use crate::operator::Operator;

const COMMANDS: [&str; 17] = [
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
fn commands_and_output() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let mut operator = Operator::new(&site);
    for command in COMMANDS {
        operator.run(command);
    }
    insta::assert_snapshot!(operator.transcript());
    site.stop().unwrap();
}
