//! The records of the log: what each kind holds, and how one is read from untrusted text.

use std::sync;

use crate::configuration;
use crate::fence;
use crate::names;

/// The largest record that the fold reads, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// One record with its unique id.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogRecord {
    /// The id, by which a repeated append is known.
    pub id: names::RecordId,
    /// The content.
    pub body: RecordBody,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum RecordBody {
    /// An operator's patch.
    Patch(PatchBody),
    /// Assignments that a granter made.
    Assign(AssignBody),
    /// A granter's term.
    Term(TermBody),
    /// A domain's new witness set, known to a majority of the old one.
    Settle(SettleBody),
    /// A part of a checkpoint.
    Checkpoint(CheckpointBody),
}

/// Changes against one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PatchBody {
    /// The version that the changes start from.
    pub base: u64,
    /// The changes.
    pub changes: Vec<configuration::ConfigurationChange>,
}

/// The assignment of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AssignmentEntry {
    /// The shard.
    pub shard: names::ShardId,
    /// Its owner.
    pub server: names::ServerName,
    /// The fence of the grant.
    pub fence: fence::GrantFence,
}

/// A batch of assignments.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct AssignBody {
    /// The assignments.
    pub entries: Vec<AssignmentEntry>,
}

/// The start of a granter's term.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct TermBody {
    /// The failure domain.
    pub domain: names::DomainName,
    /// The term.
    pub term: sync::Arc<fence::TermId>,
}

/// The settlement of a witness set.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct SettleBody {
    /// The failure domain.
    pub domain: names::DomainName,
    /// The set's number.
    pub witness_set: u64,
}

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CheckpointBody {
    /// The offset of the first record that the checkpoint does not cover.
    pub covered: u64,
    /// The hash of the whole text.
    pub digest: u64,
    /// The part's number, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The part's text.
    pub text: String,
}

/// Why a record's text was skipped.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum RecordError {
    /// The text is larger than a record may be.
    #[snafu(display("step=decode-record size={bytes} limit={MAX_RECORD_BYTES}"))]
    Oversize {
        /// The text's size.
        bytes: usize,
    },
    /// The text is not a record.
    #[snafu(display("step=decode-record fault=\"{message}\""))]
    Malformed {
        /// What the reader said.
        message: String,
    },
}

impl LogRecord {
    /// Creates a record.
    #[must_use]
    pub const fn new(id: names::RecordId, body: RecordBody) -> Self {
        Self { id, body }
    }

    /// Reads a record from a log's text.
    ///
    /// # Errors
    /// Fails when the text is too large or is not a record.
    pub fn decode(text: &str) -> Result<Self, RecordError> {
        if text.len() > MAX_RECORD_BYTES {
            return OversizeSnafu { bytes: text.len() }.fail();
        }
        serde_json::from_str(text).map_err(|e| RecordError::Malformed {
            message: e.to_string(),
        })
    }

    /// Writes the record as text for the log.
    ///
    /// # Panics
    /// Never: each part of a record has a JSON form.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("a record has a JSON form")
    }
}
