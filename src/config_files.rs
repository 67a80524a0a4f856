//! The check of any set of configuration files: what each file is, by its content, and every fault in
//! and between them.

use serde::Serialize;
use strum::IntoEnumIterator;

use crate::findings::{settle, Checked, Finding};
use crate::fleet_file::{self, FleetFile};
use crate::jsonc::Document;
use crate::lists::{checks, cross, decode, Entitlements, Lists, Plans};
use crate::settings::{self, Settings};

/// One configuration file.
#[derive(Clone, Copy, Debug)]
pub struct ConfigSource<'a> {
    /// Name of the file, used in findings.
    pub file: &'a str,
    /// Text of the file.
    pub text: &'a str,
}

/// The kinds of configuration files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ConfigKind {
    /// The list of what customers bought.
    Plans,
    /// The list of what each plan may use.
    Entitlements,
    /// The description of a fleet and its demand, for stand-ins and load runs.
    Fleet,
    /// The settings of one entry process.
    Settings,
}

impl ConfigKind {
    /// Returns the names of the outermost fields.
    fn field_names(self) -> Vec<&'static str> {
        match self {
            Self::Plans => decode::PLANS_FIELDS.to_vec(),
            Self::Entitlements => decode::ENTITLEMENTS_FIELDS.to_vec(),
            Self::Fleet => fleet_file::FIELDS.to_vec(),
            Self::Settings => settings::field_names().collect(),
        }
    }
}

/// What a set of configuration files holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigFiles {
    /// The `plans` list, if its file was named.
    pub plans: Option<Plans>,
    /// The `entitlements` list, if its file was named.
    pub entitlements: Option<Entitlements>,
    /// The fleet, if its file was named.
    pub fleet: Option<FleetFile>,
    /// The settings of every entry whose file was named.
    pub settings: Vec<Settings>,
}

impl ConfigFiles {
    /// Returns both lists, if both files were named.
    pub fn lists(&self) -> Option<Lists> {
        Some(Lists {
            plans: self.plans.clone()?,
            entitlements: self.entitlements.clone()?,
        })
    }
}

/// Tells what each file is, checks each, and checks them against each other.
///
/// # Errors
///
/// All findings of all files, if one of them is an error.
pub fn check(sources: &[ConfigSource<'_>]) -> Checked<ConfigFiles> {
    let documents: Vec<Document<'_>> = sources
        .iter()
        .map(|source| Document::parse(source.file, source.text))
        .collect();
    let mut files = ConfigFiles::default();
    let mut findings = Vec::new();
    let mut found = [None; 3];
    for document in documents.iter().filter(|document| document.is_parsed()) {
        let Some(kind) = recognise(document) else {
            findings.push(Finding::of_file(
                document.file(),
                "the file is no list, no fleet and no settings",
                "write the fields of one of these, as in `examples/`",
            ));
            continue;
        };
        let first = match kind {
            ConfigKind::Plans => &mut found[0],
            ConfigKind::Entitlements => &mut found[1],
            ConfigKind::Fleet => &mut found[2],
            ConfigKind::Settings => {
                files.settings.extend(settings::read(document));
                continue;
            }
        };
        if let Some(first) = first.replace(document) {
            findings.push(Finding::of_file(
                document.file(),
                &format!("`{}` is the {kind} file already", first.file()),
                "name one file of this kind",
            ));
        }
    }
    let [plans_in, entitlements_in, fleet_in] = found;
    files.plans = plans_in.and_then(checked_plans);
    files.entitlements = entitlements_in.and_then(checked_entitlements);
    files.fleet = fleet_in.and_then(fleet_file::read);
    if let (Some(plans_in), Some(entitlements_in), Some(lists)) =
        (plans_in, entitlements_in, files.lists())
    {
        cross::check_both(plans_in, entitlements_in, &lists);
        if let (Some(fleet_in), Some(fleet)) = (fleet_in, &files.fleet) {
            fleet_file::check_with_lists(fleet_in, plans_in, fleet, &lists);
        }
    }
    findings.extend(documents.into_iter().flat_map(Document::into_findings));
    settle(Some(files), findings)
}

/// Tells what a file is by its content; `None` if it cannot be parsed or is of no known kind.
pub fn kind_of(source: &ConfigSource<'_>) -> Option<ConfigKind> {
    recognise(&Document::parse(source.file, source.text))
}

fn checked_plans(document: &Document<'_>) -> Option<Plans> {
    let plans = decode::plans(document)?;
    checks::check_plans(document, &plans);
    Some(plans)
}

fn checked_entitlements(document: &Document<'_>) -> Option<Entitlements> {
    let entitlements = decode::entitlements(document)?;
    checks::check_entitlements(document, &entitlements);
    Some(entitlements)
}

/// Returns the kind whose outermost fields the file has most of, the earlier kind on a tie.
fn recognise(document: &Document<'_>) -> Option<ConfigKind> {
    let names = document.root_names();
    let count_known = |kind: ConfigKind| {
        let known = kind.field_names();
        names.iter().filter(|name| known.contains(name)).count()
    };
    ConfigKind::iter()
        .map(|kind| (count_known(kind), kind))
        .rev()
        .max_by_key(|(count, _)| *count)
        .filter(|(count, _)| *count > 0)
        .map(|(_, kind)| kind)
}
