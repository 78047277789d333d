//! The policy instances that the simulator has created. An instance that fails is removed; the others keep running.

use crate::codec::Record;
use crate::translate;
use cometspool::settings::{self, Metric, ParsedSettings};
use cometspool::{Action, Millis, PolicyEngine};
use std::collections::BTreeMap;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Mutex;

/// Message and source location of the most recent panic of the policy.
static LAST_PANIC: Mutex<String> = Mutex::new(String::new());

/// Why an instance could not be created or has failed. The error's text is sent to the simulator.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InstanceError {
    /// The settings of the instance are invalid.
    #[error("{0}")]
    Settings(String),
    /// The policy engine panicked.
    #[error("{0}")]
    Panicked(String),
}

/// Replaces the panic hook: the text of a panic is stored for [`InstanceError::Panicked`] instead of printed.
pub(crate) fn install_panic_hook() {
    panic::set_hook(Box::new(|info| {
        if let Ok(mut text) = LAST_PANIC.lock() {
            *text = info.to_string();
        }
    }));
}

/// One policy engine with the configuration that is needed to decode its events.
struct Instance {
    engine: PolicyEngine,
    /// Metrics of the load reports, in the order in which the reports carry their values.
    metrics: Vec<Metric>,
}

impl Instance {
    fn new(seed: u64, settings: &str) -> Result<Instance, InstanceError> {
        let ParsedSettings {
            settings,
            report_metrics,
            ..
        } = settings::parse(settings)
            .map_err(|error| InstanceError::Settings(error.to_string()))?;
        Ok(Instance {
            engine: catch_panic(|| PolicyEngine::new(settings, seed))?,
            metrics: report_metrics,
        })
    }
}

/// All running instances, by the number that the simulator gave them.
#[derive(Default)]
pub(crate) struct Instances {
    running: BTreeMap<u32, Instance>,
}

impl Instances {
    /// Passes a record to the instance `number` and appends the resulting actions to `actions`. An instance that fails
    /// is removed. A record for an instance that is not running is ignored.
    pub(crate) fn handle(
        &mut self,
        now: Millis,
        number: u32,
        record: Record,
        actions: &mut Vec<Action>,
    ) -> Result<(), InstanceError> {
        let result = self.try_handle(now, number, record, actions);
        if result.is_err() {
            self.running.remove(&number);
        }
        result
    }

    fn try_handle(
        &mut self,
        now: Millis,
        number: u32,
        record: Record,
        actions: &mut Vec<Action>,
    ) -> Result<(), InstanceError> {
        match record {
            Record::Create { seed, settings } => {
                let instance = Instance::new(seed, &settings)?;
                self.running.insert(number, instance);
                Ok(())
            }
            Record::Retire => {
                self.running.remove(&number);
                Ok(())
            }
            record => {
                let Some(instance) = self.running.get_mut(&number) else {
                    return Ok(());
                };
                let Some(event) = translate::event_from_record(record, &instance.metrics) else {
                    return Ok(());
                };
                catch_panic(|| instance.engine.handle(now, event, actions))
            }
        }
    }
}

/// Calls the policy engine and turns a panic into an error, so that one instance cannot end the process.
fn catch_panic<T>(call: impl FnOnce() -> T) -> Result<T, InstanceError> {
    panic::catch_unwind(AssertUnwindSafe(call)).map_err(|_| {
        let text = LAST_PANIC
            .lock()
            .map_or_else(|_| "panic".to_owned(), |text| text.clone());
        InstanceError::Panicked(text)
    })
}
