//! Why figures cannot be measured.

use crate::endpoint_list::EndpointListError;
use ryefront_policy::SettingsError;
use std::io;

/// Figures that cannot be measured.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    /// The policy engine rejects the settings.
    #[error("the policy engine rejects the settings: {0}")]
    Settings(#[from] SettingsError),
    /// The gateways' parser rejects a list.
    #[error("the gateways' parser rejects the endpoint list: {0}")]
    List(#[from] EndpointListError),
    /// The policy engine did not forward a request that it should.
    #[error("a measured request was not forwarded exactly once")]
    NotForwarded,
    /// The policy engine did not call the counter for a new tenant.
    #[error("a new tenant's request led to no counter call")]
    NoCounterCall,
    /// Memory or a loopback socket cannot be used.
    #[error("measuring is not possible here: {0}")]
    Io(#[from] io::Error),
}
