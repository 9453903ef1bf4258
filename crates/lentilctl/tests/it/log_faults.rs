//! The tool reports the real outcome of a change while the log fails.

use lentil_fakes::Outage;
use lentil_site::{Site, SiteOptions};

use crate::operator::Operator;

#[test]
fn lost_log_response() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let mut operator = Operator::new(&site);
    site.log.drop_responses(1);
    let code = operator.run("zone out zone-a --why power --wait");
    assert_eq!(code, Some(0), "{}", operator.transcript());
    let code = operator.run("zone out zone-a --why power");
    assert_eq!(code, Some(4), "the change took effect once");
    site.stop().unwrap();
}

#[test]
fn log_outage() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let mut operator = Operator::new(&site);
    site.log.set_outage(Outage::Refusing);
    let code = operator.run("--timeout 1 zone out zone-a --why power");
    assert_eq!(code, Some(1));
    let code = operator.run("status");
    assert_eq!(code, Some(0), "status works without the log");
    site.stop().unwrap();
}
