//! The policy instances of a simulation. A failure of one ends that instance and no other.

use crate::codec::Record;
use crate::translate;
use cometspool::settings::{self, Metric, ParsedSettings};
use cometspool::{Action, Millis, PolicyEngine};
use std::collections::BTreeMap;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Mutex;

/// Where and why the policy last panicked.
static LAST_PANIC: Mutex<String> = Mutex::new(String::new());

/// Why an instance cannot start or go on; its text is what the simulator is sent.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InstanceError {
    /// Its settings cannot be read.
    #[error("{0}")]
    Settings(String),
    /// The policy panicked.
    #[error("{0}")]
    Panicked(String),
}

/// Has the text of a panic kept for [`InstanceError::Panicked`], and not printed.
pub(crate) fn install_panic_hook() {
    panic::set_hook(Box::new(|info| {
        if let Ok(mut text) = LAST_PANIC.lock() {
            *text = info.to_string();
        }
    }));
}

struct Instance {
    engine: PolicyEngine,
    /// The metrics of its load reports, in order.
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

/// All instances, by number.
#[derive(Default)]
pub(crate) struct Instances {
    running: BTreeMap<u32, Instance>,
}

impl Instances {
    /// Handles a record at its instance, and appends the actions of the policy. An instance that fails is gone;
    /// a record for one that is not running is ignored.
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
                let Some(event) = translate::event(record, &instance.metrics) else {
                    return Ok(());
                };
                catch_panic(|| instance.engine.handle(now, event, actions))
            }
        }
    }
}

fn catch_panic<T>(call: impl FnOnce() -> T) -> Result<T, InstanceError> {
    panic::catch_unwind(AssertUnwindSafe(call)).map_err(|_| {
        let text = LAST_PANIC
            .lock()
            .map_or_else(|_| "panic".to_owned(), |text| text.clone());
        InstanceError::Panicked(text)
    })
}
