//! Small stand-ins for the systems around hibiscusroad, for its tests and demo.
//!
//! Each stand-in is one module: a plain settings struct, and a server that
//! starts on a free port and stops when it is dropped. The program `standin`
//! runs the same as a process. Faults are switched on over HTTP, by
//! `POST /control`, so that a test drives both forms alike.
//!
//! * [`platform`]: table service, object store, host list and weight store.
//! * [`engine`]: a model engine with continuous batching.
//! * [`direct`]: the store of a deployment without sides, and its endpoints.
//! * [`plain`]: a plain service that logs what it ran.
//! * [`trainer`] and [`scorer`]: the two ends of training.
//! * [`ports`]: free ports for processes.
//! * [`relay`]: a TCP relay that cuts connections or makes them silent.
//! * [`http`]: the server that all of them share.

pub mod direct;
pub mod engine;
pub mod http;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod relay;
pub mod scorer;
pub mod trainer;
