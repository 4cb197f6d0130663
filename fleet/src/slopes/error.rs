//! Errors of the cost measurements.

use crate::endpoint_list::EndpointListError;
use ryefront_policy::SettingsError;
use std::io;

/// Why a cost cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasurementError {
    /// The policy engine rejects the settings.
    #[error("the policy engine rejects the settings: {0}")]
    Settings(#[from] SettingsError),
    /// The gateways' parser rejects an endpoint list.
    #[error("the gateways' parser rejects the endpoint list: {0}")]
    List(#[from] EndpointListError),
    /// The policy engine did not forward a request, or forwarded it more than once.
    #[error("a measured request was not forwarded exactly once")]
    NotForwardedOnce,
    /// The policy engine did not call the counter exactly once for the first request of a tenant.
    #[error("the first request of a new tenant did not lead to exactly one counter call")]
    NotOneCounterCall,
    /// The resident memory cannot be read, the process that measures it fails, or a loopback socket cannot be
    /// used.
    #[error("the measurement failed: {0}")]
    Io(#[from] io::Error),
}
