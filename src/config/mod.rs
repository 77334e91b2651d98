//! The configuration: one document, changed by commands, spread by everybody.
//!
//! The whole configuration is one [`Document`] with a version that counts up by
//! one. It lives in one row of the platform's table service. A change is a
//! compare-and-set on the version that it was made for, in one transaction with
//! a row for the command and a row for the audit trail. So two operators who
//! race can't both win, a repeated command finds its own row and does nothing,
//! and nothing accepted is missing from the trail.
//!
//! Entries poll the row; a side gets the document over a link, and hands it on
//! to an entry that has an older one. Whoever has a version applies only a
//! higher one ([`Register`]), so an accepted configuration never reverts,
//! whatever order news arrives in, and it goes on spreading while the table
//! service is down.
//!
//! The trade-off: one document for all means that two changes to different
//! services conflict and one of them is tried again. At 230 changes a day that
//! costs nothing, and it makes "in force" one number to compare.
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
    commit::{Attempt, Audit, Command, Next, Plan, Rows, Verdict},
    document::{Document, Drains, Kind, Rule, Service},
    register::Register,
};
