//! Check of a set of configuration files: detects the kind of each file from its content, and finds
//! the errors in and between the files.

use serde::Serialize;
use strum::IntoEnumIterator;

use crate::findings::{finish_check, Checked, Finding};
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

/// Kind of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ConfigKind {
    /// The list of what each customer bought.
    Plans,
    /// The list of what each plan may use.
    Entitlements,
    /// A fleet and its demand, for stand-ins and load runs.
    Fleet,
    /// The settings of one entry process.
    Settings,
}

impl ConfigKind {
    /// Returns the names of the top-level fields.
    fn field_names(self) -> Vec<&'static str> {
        match self {
            Self::Plans => decode::PLANS_FIELDS.to_vec(),
            Self::Entitlements => decode::ENTITLEMENTS_FIELDS.to_vec(),
            Self::Fleet => fleet_file::FIELDS.to_vec(),
            Self::Settings => settings::field_names().collect(),
        }
    }
}

/// The contents of a set of configuration files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigFiles {
    /// The `plans` list, if its file was given.
    pub plans: Option<Plans>,
    /// The `entitlements` list, if its file was given.
    pub entitlements: Option<Entitlements>,
    /// The fleet, if its file was given.
    pub fleet: Option<FleetFile>,
    /// The settings of each entry whose file was given.
    pub settings: Vec<Settings>,
}

impl ConfigFiles {
    /// Returns both lists, if both files were given.
    pub fn lists(&self) -> Option<Lists> {
        Some(Lists {
            plans: self.plans.clone()?,
            entitlements: self.entitlements.clone()?,
        })
    }
}

/// Detects the kind of each file, checks each file and checks them against each other.
///
/// # Errors
///
/// All findings of all files, if one of them is an error.
pub fn check(sources: &[ConfigSource<'_>]) -> Checked<ConfigFiles> {
    let documents: Vec<Document<'_>> = sources
        .iter()
        .map(|source| Document::parse(source.file, source.text))
        .collect();
    let mut read = ReadFiles::default();
    let mut findings = Vec::new();
    for document in documents.iter().filter(|document| document.is_parsed()) {
        findings.extend(read.add(document));
    }
    read.check_together();
    let files = read.into_files();
    findings.extend(documents.into_iter().flat_map(Document::into_findings));
    finish_check(Some(files), findings)
}

/// Detects the kind of a file from its content. Returns `None` if it cannot be parsed or is of no
/// known kind.
pub fn kind_of(source: &ConfigSource<'_>) -> Option<ConfigKind> {
    detect_kind(&Document::parse(source.file, source.text))
}

/// A parsed file and the value read from it.
type ReadFile<'d, T> = (&'d Document<'d>, T);

/// The files read so far.
#[derive(Default)]
struct ReadFiles<'d> {
    plans: Option<ReadFile<'d, Plans>>,
    entitlements: Option<ReadFile<'d, Entitlements>>,
    fleet: Option<ReadFile<'d, FleetFile>>,
    settings: Vec<ReadFile<'d, Settings>>,
}

impl<'d> ReadFiles<'d> {
    /// Reads one file according to its kind. Returns a finding if the kind is unknown, or if a file
    /// of this kind was read before and the kind is not settings.
    fn add(&mut self, document: &'d Document<'d>) -> Option<Finding> {
        let Some(kind) = detect_kind(document) else {
            return Some(Finding::of_file(
                document.file(),
                "the file is neither a list nor a fleet nor settings",
                "write the fields of one of these; see `examples/`",
            ));
        };
        let first = match kind {
            ConfigKind::Plans => add_once(&mut self.plans, document, read_plans),
            ConfigKind::Entitlements => {
                add_once(&mut self.entitlements, document, read_entitlements)
            }
            ConfigKind::Fleet => add_once(&mut self.fleet, document, fleet_file::read),
            ConfigKind::Settings => {
                let settings = settings::read(document);
                self.settings.extend(settings.map(|read| (document, read)));
                None
            }
        };
        first.map(|first| {
            Finding::of_file(
                document.file(),
                &format!("`{}` is already the {kind} file", first.file()),
                "pass only one file of this kind",
            )
        })
    }

    /// Checks the files that were read against each other.
    fn check_together(&self) {
        if let (Some((plans_document, plans)), Some((entitlements_document, entitlements))) =
            (&self.plans, &self.entitlements)
        {
            let lists = Lists {
                plans: plans.clone(),
                entitlements: entitlements.clone(),
            };
            cross::check_both(plans_document, entitlements_document, &lists);
            if let Some((fleet_document, fleet)) = &self.fleet {
                fleet_file::check_with_lists(fleet_document, plans_document, fleet, &lists);
            }
        }
        if let Some((fleet_document, fleet)) = &self.fleet {
            for (settings_document, settings) in &self.settings {
                settings::check_with_fleet(settings_document, fleet_document, settings, fleet);
            }
        }
    }

    fn into_files(self) -> ConfigFiles {
        ConfigFiles {
            plans: self.plans.map(|(_, plans)| plans),
            entitlements: self.entitlements.map(|(_, entitlements)| entitlements),
            fleet: self.fleet.map(|(_, fleet)| fleet),
            settings: self.settings.into_iter().map(|(_, read)| read).collect(),
        }
    }
}

/// Reads a file into `slot`, and returns the file that was in it before.
fn add_once<'d, T>(
    slot: &mut Option<ReadFile<'d, T>>,
    document: &'d Document<'d>,
    read: impl Fn(&'d Document<'d>) -> Option<T>,
) -> Option<&'d Document<'d>> {
    let value = read(document)?;
    let first = slot.replace((document, value));
    first.map(|(document, _)| document)
}

fn read_plans(document: &Document<'_>) -> Option<Plans> {
    let plans = decode::plans(document)?;
    checks::check_plans(document, &plans);
    Some(plans)
}

fn read_entitlements(document: &Document<'_>) -> Option<Entitlements> {
    let entitlements = decode::entitlements(document)?;
    checks::check_entitlements(document, &entitlements);
    Some(entitlements)
}

/// Returns the kind with which the file shares most top-level fields; on a tie, the earlier kind.
fn detect_kind(document: &Document<'_>) -> Option<ConfigKind> {
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
