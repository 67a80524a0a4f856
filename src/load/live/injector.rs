//! Carries out a fault script against the stand-ins and the processes of the entries. It ends,
//! pauses and resumes only the processes given to it, and starts none.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;
use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;

use super::faults::{Fault, InstanceOrder, Signal, Step};
use super::guarantees::{LeavingInstance, WithdrawnKey};
use super::process;
use super::site::Site;
use super::targets::TeamKeys;
use crate::adapters::http_client::{percent_encode, HttpCall};
use crate::adapters::log_http::{service_call, ServiceTimeouts};
use crate::fleet::InstanceName;
use crate::stand_in::worker::now_unix_us;

const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 500,
    call_ms: 4_000,
};

/// Faults that were carried out, as the guarantee check needs them.
#[derive(Clone, Debug, Default)]
pub struct Injected {
    /// Instances that the platform announced to be leaving.
    pub leaving: Vec<LeavingInstance>,
    /// Withdrawn keys.
    pub withdrawn: Vec<WithdrawnKey>,
    /// Steps that were carried out, each with its time.
    pub done: Vec<SmolStr>,
    /// Steps that failed.
    pub failed: Vec<SmolStr>,
}

/// Carries out fault scripts.
pub struct Injector {
    /// Addresses and processes of the deployment.
    pub site: Site,
    /// Addresses of the workers, by instance.
    pub workers: IndexMap<InstanceName, SmolStr>,
    /// Keys of the teams.
    pub keys: TeamKeys,
}

impl Injector {
    /// Carries out `steps`; their times count from `started`.
    pub fn run(&self, steps: &[Step], started: Instant) -> Injected {
        let mut injected = Injected::default();
        for step in steps {
            let due = started + Duration::from_millis(step.at_ms);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let result = self.inject(&step.fault, &mut injected);
            log::info!(
                "event=fault at_ms={} fault={:?} result={result:?}",
                step.at_ms,
                step.fault
            );
            match result {
                Ok(()) => {
                    let step = format!("at_ms={} fault={:?}", step.at_ms, step.fault);
                    injected.done.push(step.into());
                }
                Err(error) => injected
                    .failed
                    .push(format!("{:?}: {error}", step.fault).into()),
            }
        }
        injected
    }

    fn inject(&self, fault: &Fault, injected: &mut Injected) -> Result<(), String> {
        match fault {
            Fault::Log(faults) => post(&self.site.log, "/faults", faults),
            Fault::Instances(faults) => post(&self.site.instances, "/faults", faults),
            Fault::Worker { name, faults } => {
                let address = self.workers.get(name).ok_or("no such worker")?;
                post(address, "/faults", faults)
            }
            Fault::Instance { name, order } => self.order(name, *order, injected),
            Fault::Entry { index, signal } => {
                let path = self.site.entry_pid_files.get(*index);
                let pid = process::read_pid(path.ok_or("no such entry")?)?;
                process::send_signal(pid, signal_number(*signal))
            }
            Fault::WithdrawKey { team, key } => {
                let text = self.keys.get(team).and_then(|keys| keys.get(*key));
                let key_id = text.and_then(|text| text.split('.').next());
                let body = serde_json::json!({ "key_id": key_id.ok_or("no such key")? });
                // Any entry may accept the withdrawal; it must reach the other entries as well.
                let mut operators = self.site.operators.iter();
                let is_accepted =
                    |address: &SmolStr| post(address, "/v1/keys/withdraw", &body).is_ok();
                match operators.any(is_accepted) {
                    false => Err("no entry accepted the withdrawal".to_owned()),
                    true => {
                        injected.withdrawn.push(WithdrawnKey {
                            team: team.clone(),
                            key: *key,
                            at_unix_us: now_unix_us(),
                        });
                        Ok(())
                    }
                }
            }
        }
    }

    fn order(
        &self,
        name: &InstanceName,
        order: InstanceOrder,
        injected: &mut Injected,
    ) -> Result<(), String> {
        let now_unix_us = now_unix_us();
        // A replaced instance is no longer leaving; its earlier incarnation ends before the answer.
        for row in &mut injected.leaving {
            if row.instance == *name && row.until_unix_us.is_none() {
                row.until_unix_us = Some(now_unix_us);
            }
        }
        let path = format!("/instances/{}/{order}", percent_encode(name));
        post(&self.site.instances, &path, &())?;
        if order == InstanceOrder::Leave {
            injected.leaving.push(LeavingInstance {
                instance: name.clone(),
                from_unix_us: now_unix_us,
                until_unix_us: None,
            });
        }
        Ok(())
    }
}

fn signal_number(signal: Signal) -> i32 {
    match signal {
        Signal::Kill => libc::SIGKILL,
        Signal::Stop => libc::SIGSTOP,
        Signal::Cont => libc::SIGCONT,
        Signal::Term => libc::SIGTERM,
    }
}

fn post(address: &str, path: &str, body: &impl Serialize) -> Result<(), String> {
    let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
    let call = HttpCall {
        body: Arc::from(body),
        ..service_call(address, TIMEOUTS, Method::POST, path.to_owned())
    };
    match call.send() {
        Ok(answer) if answer.status == 200 => Ok(()),
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(format!("{error:?}")),
    }
}
