//! Errors of a simulation.

use crate::endpoint_list::EndpointListError;
use ryefront_policy::SettingsError;

/// Why an experiment cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The policy engine rejects the settings.
    #[error("the policy engine rejects the experiment's settings: {0}")]
    Settings(#[from] SettingsError),
    /// The gateways' parser rejects an endpoint list.
    #[error("the gateways' parser rejects the model's endpoint list: {0}")]
    List(#[from] EndpointListError),
}
