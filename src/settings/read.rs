//! Reads a settings file.

use std::net::SocketAddr;
use std::str::FromStr;

use smol_str::SmolStr;
use strum::IntoEnumIterator;

use crate::jsonc::{Cursor, Document};
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
    let own_address = |name| required(name).and_then(|cursor| address(&cursor));
    let other_address = |name| required(name).and_then(|cursor| remote_address(&cursor));
    let default = settings.callers_address;
    settings.zone = fields.name("zone");
    settings.region = fields.name("region");
    settings.callers_address = own_address("callers_address").unwrap_or(default);
    settings.peers_address = own_address("peers_address").unwrap_or(default);
    settings.operators_address = own_address("operators_address").unwrap_or(default);
    settings.instance_list_address = other_address("instance_list_address").unwrap_or(default);
    settings.log_addresses = fields
        .required("log_addresses", "an array of addresses")
        .map_or(Vec::new(), remote_addresses);
    settings.peer_addresses = fields
        .get("peer_addresses")
        .map_or(Vec::new(), remote_addresses);
    settings.peers_advertised_address = fields
        .get("peers_advertised_address")
        .and_then(|cursor| remote_address(&cursor));
    settings.log_file = fields.get("log_file").and_then(|cursor| log_file(&cursor));
    settings.log_level = fields
        .get("log_level")
        .and_then(|cursor| log_level(&cursor))
        .unwrap_or(settings.log_level);
    for field in NUMBER_FIELDS {
        if let Some(cursor) = fields.get(field.name) {
            let value = cursor.u64(field.range.clone());
            *(field.value_mut)(&mut settings) = value.unwrap_or(field.default);
        }
    }
    checks::check(document, &settings);
    Some(settings)
}

/// Reads an address that this process binds.
fn address(cursor: &Cursor<'_>) -> Option<SocketAddr> {
    let text = cursor.text()?;
    let address = SocketAddr::from_str(&text).ok();
    if address.is_none() {
        cursor.out_of_range(
            &format!("`{text}` is not an address"),
            "write an IP address and a port, such as `10.0.1.7:7100`",
        );
    }
    address
}

/// Reads an address of another process; the port must not be 0 and the IP address not unspecified.
fn remote_address(cursor: &Cursor<'_>) -> Option<SocketAddr> {
    let address = address(cursor)?;
    if address.port() == 0 || address.ip().is_unspecified() {
        cursor.out_of_range(
            &format!("no service can be reached at `{address}`"),
            "write the IP address and the port at which the service listens",
        );
        return None;
    }
    Some(address)
}

fn remote_addresses(cursor: Cursor<'_>) -> Vec<SocketAddr> {
    cursor
        .elements()
        .iter()
        .filter_map(remote_address)
        .collect()
}

fn log_file(cursor: &Cursor<'_>) -> Option<SmolStr> {
    let text = cursor.text()?;
    if text.is_empty() {
        cursor.out_of_range("the name is empty", "write a path, or remove the field");
        return None;
    }
    Some(text)
}

fn log_level(cursor: &Cursor<'_>) -> Option<LogLevel> {
    let text = cursor.text()?;
    let level = LogLevel::from_str(&text).ok();
    if level.is_none() {
        let levels: Vec<String> = LogLevel::iter().map(|level| level.to_string()).collect();
        cursor.out_of_range(
            &format!("`{text}` is not a log level"),
            &format!("write one of {}", levels.join(", ")),
        );
    }
    level
}
