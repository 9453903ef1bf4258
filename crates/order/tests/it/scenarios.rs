//! Scripted scenarios of claims and orders.

use lentil_order::EngineFencing;

use crate::simulation::Simulation;

macro_rules! scenario {
    ($name:ident, $fencing:ident) => {
        #[test]
        fn $name() {
            let text = include_str!(concat!("scenarios/", stringify!($name), ".yaml"));
            let trace =
                lentil_scenario::run(text, &mut Simulation::new(EngineFencing::$fencing)).unwrap();
            insta::assert_snapshot!(trace);
        }
    };
}

scenario!(paused_holder, Ignored);
scenario!(refusing_engine, Enforced);
scenario!(agent_replaced, Ignored);
scenario!(lost_answers, Ignored);
scenario!(foreign_order, Ignored);
