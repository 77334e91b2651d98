//! The configuration: one versioned document, changed by commands.
//!
//! The whole configuration is one [`Document`], stored in one row of the platform's table
//! service. A change is a compare-and-set on the version it is based on, in one transaction
//! with a row for the command and a row for the audit trail. So of two concurrent changes
//! only one succeeds, a repeated command finds its own row and has no effect, and every
//! accepted change is in the audit trail.
//!
//! Entries poll the row. A sidecar receives the document over a stream and passes it on to
//! entries with an older one. A process applies only a newer version ([`Register`]), so an
//! accepted configuration never reverts, in whatever order updates arrive, and it spreads
//! even while the table service is down.
//!
//! The trade-off: concurrent changes to different services conflict, and one of them is
//! retried. In return, a single number identifies the configuration in force.
//!
//! # Example
//!
//! ```
//! use hibiscusroad::config::{Change, Document, Kind, Rule};
//!
//! let empty = Document::default();
//! let change = Change::CreateService {
//!     name: "hut-desk".to_owned(),
//!     kind: Kind::Plain,
//!     rule: Rule::default(),
//! };
//! let next = change.apply(&empty, false)?;
//! assert_eq!(next.version, 1);
//! # Ok::<(), hibiscusroad::config::Refusal>(())
//! ```

mod change;
mod commit;
mod document;
mod register;

pub use self::{
    change::{Change, Edit, Refusal, Target},
    commit::{Attempt, Audit, Command, CommandOutcome, NextStep, Plan, Rows},
    document::{Document, Drains, Kind, Rule, Service},
    register::Register,
};
