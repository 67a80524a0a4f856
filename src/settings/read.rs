//! Reading of a settings file.

use std::net::SocketAddr;
use std::str::FromStr;

use smol_str::SmolStr;
use strum::IntoEnumIterator;

use crate::jsonc::{Document, Place};
use crate::settings::{checks, LogLevel, Settings, NUMBER_FIELDS};

/// Names of the settings that are not numbers.
const TEXT_FIELDS: [&str; 11] = [
    "zone",
    "region",
    "callers_address",
    "peers_address",
    "operators_address",
    "log_addresses",
    "instance_list_address",
    "peer_addresses",
    "peers_advertised_address",
    "log_file",
    "log_level",
];

/// Returns the names of all settings.
pub(crate) fn field_names() -> impl Iterator<Item = &'static str> {
    let numbers = NUMBER_FIELDS.iter().map(|field| field.name);
    TEXT_FIELDS.into_iter().chain(numbers)
}

/// Reads the settings of a file and checks them against each other.
pub(crate) fn read(document: &Document<'_>) -> Option<Settings> {
    let names: Vec<&str> = field_names().collect();
    let fields = document.root()?.fields(&names);
    let mut settings = Settings::default();
    let required = |name| fields.required(name, "an address such as `10.0.1.7:7100`");
    let own = |name| required(name).and_then(|place| address(&place));
    let other = |name| required(name).and_then(|place| reached(&place));
    let default = settings.callers_address;
    settings.zone = fields.name("zone");
    settings.region = fields.name("region");
    settings.callers_address = own("callers_address").unwrap_or(default);
    settings.peers_address = own("peers_address").unwrap_or(default);
    settings.operators_address = own("operators_address").unwrap_or(default);
    settings.instance_list_address = other("instance_list_address").unwrap_or(default);
    settings.log_addresses = fields
        .required("log_addresses", "an array of addresses")
        .map_or(Vec::new(), all_reached);
    settings.peer_addresses = fields.get("peer_addresses").map_or(Vec::new(), all_reached);
    settings.peers_advertised_address = fields
        .get("peers_advertised_address")
        .and_then(|place| reached(&place));
    settings.log_file = fields.get("log_file").and_then(|place| log_file(&place));
    settings.log_level = fields
        .get("log_level")
        .and_then(|place| log_level(&place))
        .unwrap_or(settings.log_level);
    for field in NUMBER_FIELDS {
        if let Some(place) = fields.get(field.name) {
            let value = place.u64(field.range.clone());
            *(field.slot)(&mut settings) = value.unwrap_or(field.default);
        }
    }
    checks::check(document, &settings);
    Some(settings)
}

/// Reads an address of this process.
fn address(place: &Place<'_>) -> Option<SocketAddr> {
    let text = place.text()?;
    let address = SocketAddr::from_str(&text).ok();
    if address.is_none() {
        place.out_of_range(
            &format!("`{text}` is no address"),
            "write an IP number and a port, such as `10.0.1.7:7100`",
        );
    }
    address
}

/// Reads an address of another process, which must have a port and an IP number.
fn reached(place: &Place<'_>) -> Option<SocketAddr> {
    let address = address(place)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        place.out_of_range(
            &format!("nothing can be reached at `{address}`"),
            "write the IP number and the port at which the service listens",
        );
        return None;
    }
    Some(address)
}

fn all_reached(place: Place<'_>) -> Vec<SocketAddr> {
    place.elements().iter().filter_map(reached).collect()
}

fn log_file(place: &Place<'_>) -> Option<SmolStr> {
    let text = place.text()?;
    if text.is_empty() {
        place.out_of_range("the name is empty", "write a path, or remove the field");
        return None;
    }
    Some(text)
}

fn log_level(place: &Place<'_>) -> Option<LogLevel> {
    let text = place.text()?;
    let level = LogLevel::from_str(&text).ok();
    if level.is_none() {
        let levels: Vec<String> = LogLevel::iter().map(|level| level.to_string()).collect();
        place.out_of_range(
            &format!("`{text}` is no level"),
            &format!("write one of {}", levels.join(", ")),
        );
    }
    level
}
