//! Stand-ins for the systems around hibiscusroad, for its tests and demo.
//!
//! Most stand-ins start a server that stops on drop. The program `standin` runs one as a
//! process. `POST /control` sets faults, so that tests handle both forms alike.
//!
//! * [`platform`]: table service, object store, host list and weight store.
//! * [`engine`]: a model engine with continuous batching.
//! * [`direct`]: the store of a deployment without sidecars, and its endpoints.
//! * [`plain`]: a plain service that logs the requests it runs.
//! * [`trainer`] and [`scorer`]: a client and a service of training runs.
//! * [`ports`]: free ports for processes.
//! * [`relay`]: a TCP relay that closes, delays or silences connections.
//! * [`http`]: the HTTP server of all stand-ins.

pub mod direct;
pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod scorer;
pub mod trainer;
