//! Benchmarks of the serving decisions and of their costs, printed as tables or JSON.

mod config;
mod load;
mod once;
mod orders;
mod overhead;
mod slopes;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser};

/// The selected measurement with its options.
#[derive(Debug, Clone)]
enum Measurement {
    Config(config::Options),
    Load(load::Options),
    Once(once::Options),
    Orders(orders::Options),
    Overhead(overhead::Options),
    Slopes(slopes::Options),
}

fn options() -> OptionParser<Measurement> {
    let config = config::options()
        .map(Measurement::Config)
        .to_options()
        .command("config")
        .help("Configuration and membership");
    let load = load::options()
        .map(Measurement::Load)
        .to_options()
        .command("load")
        .help("Admission and routing");
    let once = once::options()
        .map(Measurement::Once)
        .to_options()
        .command("once")
        .help("At-most-once execution and complete answers");
    let orders = orders::options()
        .map(Measurement::Orders)
        .to_options()
        .command("orders")
        .help("Orders and the weight store");
    let overhead = overhead::options()
        .map(Measurement::Overhead)
        .to_options()
        .command("overhead")
        .help("Overhead added by entry and agent");
    let slopes = slopes::options()
        .map(Measurement::Slopes)
        .to_options()
        .command("slopes")
        .help("Growth of costs with size");
    bpaf::construct!([config, load, once, orders, overhead, slopes])
        .to_options()
        .descr("Measures lentiltray's decisions and their costs")
}

fn main() -> eyre::Result<ExitCode> {
    match options().run() {
        Measurement::Config(options) => config::execute(&options),
        Measurement::Load(options) => load::execute(&options),
        Measurement::Once(options) => once::execute(&options),
        Measurement::Orders(options) => orders::execute(&options),
        Measurement::Overhead(options) => overhead::execute(&options),
        Measurement::Slopes(options) => slopes::execute(&options),
    }
}
