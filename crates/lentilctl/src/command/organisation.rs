//! `lentilctl organisation`: manages organisations, their keys and weights.

use bpaf::Parser;
use lentil_config::{Change, KeyHash, NamedOrganisation, Organisation};
use lentil_core::{OrganisationId, Weight};

use crate::access::Access;
use crate::exit::Exit;
use crate::ledger_view::in_force;
use crate::operate::{self, ChangeOptions};
use crate::output::Table;

/// The subcommand and its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Options {
    List,
    Hash(String),
    Put(ChangeOptions, Vec<KeyHash>, Weight, OrganisationId),
    Remove(ChangeOptions, OrganisationId),
}

fn name() -> impl Parser<OrganisationId> {
    bpaf::positional("ORGANISATION").help("Name of an organisation")
}

/// Returns the parser of the subcommand.
pub(crate) fn options() -> impl Parser<Options> {
    let list = bpaf::pure(Options::List)
        .to_options()
        .command("list")
        .help("Show all organisations");
    let hash = bpaf::positional::<String>("KEY")
        .help("A bearer key")
        .map(Options::Hash)
        .to_options()
        .command("hash")
        .help("Print the hash under which a bearer key is stored");
    let change = operate::options();
    let keys = bpaf::long("key-hash")
        .help("Hash of a bearer key; may be given more than once")
        .argument::<KeyHash>("HASH")
        .many();
    let weight = bpaf::long("weight")
        .help("Share relative to other organisations when endpoints are scarce")
        .argument::<Weight>("WEIGHT")
        .fallback(Weight::new(1));
    let put_name = name();
    let put = bpaf::construct!(change, keys, weight, put_name)
        .map(|(change, keys, weight, name)| Options::Put(change, keys, weight, name))
        .to_options()
        .footer(
            "Example: lentilctl organisation put parks-office --why \"new organisation\" \
             --key-hash $(lentilctl organisation hash \"$KEY\")",
        )
        .command("put")
        .help("Add an organisation, or replace its keys and weight");
    let (change, removed) = (operate::options(), name());
    let remove = bpaf::construct!(change, removed)
        .map(|(change, removed)| Options::Remove(change, removed))
        .to_options()
        .command("remove")
        .help("Remove an organisation; its keys are no longer accepted");
    bpaf::construct!([list, hash, put, remove])
        .to_options()
        .command("organisation")
        .help("Organisations, their keys and weights")
}

/// Runs the subcommand.
pub(crate) async fn execute(access: &Access, options: Options) -> eyre::Result<Exit> {
    match options {
        Options::List => list(access).await,
        Options::Hash(key) => {
            println!("{}", KeyHash::of(&key));
            Ok(Exit::Done)
        }
        Options::Put(change, keys, weight, name) => {
            let organisation = Organisation { keys, weight };
            let named = NamedOrganisation { name, organisation };
            operate::execute_change(access, &change, Change::PutOrganisation(named)).await
        }
        Options::Remove(change, name) => {
            operate::execute_change(access, &change, Change::RemoveOrganisation(name)).await
        }
    }
}

async fn list(access: &Access) -> eyre::Result<Exit> {
    let ledger = access.ledger().await?;
    let configuration = &in_force(&ledger)?.configuration;
    let row = |(name, organisation): (&OrganisationId, &Organisation)| {
        let quota = configuration.quota(name);
        vec![
            name.to_string(),
            organisation.keys.len().to_string(),
            organisation.weight.to_string(),
            quota.in_flight_max.to_string(),
            quota.tokens_per_s.get().to_string(),
        ]
    };
    let rows = configuration.organisations().iter().map(row).collect();
    let head = ["organisation", "keys", "weight", "in flight", "tokens/s"];
    access.output.print(&Table::new(&head, rows))?;
    Ok(Exit::Done)
}
