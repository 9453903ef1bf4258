//! Starts a complete site in one process and sends two requests through it.

mod caller;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser};
use eyre::Context;
use lentil_entry::Entry;
use lentil_site::{Site, SiteOptions};

/// Options of `quickstart`.
#[derive(Debug, Clone)]
struct Options {
    serve: bool,
}

fn options() -> OptionParser<Options> {
    let serve = bpaf::long("serve")
        .help("Keep the site running and print its addresses")
        .switch();
    bpaf::construct!(Options { serve })
        .to_options()
        .descr("Starts a complete site in one process and sends two requests through it")
}

fn main() -> eyre::Result<ExitCode> {
    let options = options().run();
    let site = Site::start(SiteOptions::default()).context("starting the site")?;
    let entries: Vec<_> = site.entries.iter().map(Entry::address).collect();
    println!(
        "started {} entries, {} engines and {} replicas of a plain service",
        site.entries.len(),
        site.engines.len(),
        site.services.len(),
    );
    caller::run(&entries).context("calling the site")?;
    let executions: u64 = site
        .services
        .iter()
        .map(|service| service.executions(caller::IDEMPOTENCY_KEY))
        .sum();
    println!("the confirmation ran {executions} time(s)");
    if options.serve {
        serve(&site, &entries)?;
    }
    site.stop().context("stopping the site")?;
    Ok(if executions == 1 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn serve(site: &Site, entries: &[std::net::SocketAddr]) -> eyre::Result<()> {
    for address in entries {
        println!("entry: http://{address}");
    }
    println!("log service: http://{}", site.log.address());
    println!("host list: http://{}", site.hosts.address());
    println!("stop with Ctrl-C");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(tokio::signal::ctrl_c())?;
    Ok(())
}
