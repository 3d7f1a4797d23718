//! The records of the log, and their decoding from untrusted text.

use std::sync;

use crate::configuration;
use crate::fence;
use crate::names;

/// The largest record that is decoded, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// One record of the log, with its unique id.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LogRecord {
    /// The id, which shows whether a record was appended more than once.
    pub id: names::RecordId,
    /// The id of this append. It makes each append's text unique, also that of a retry, so that the
    /// same text at the same offset shows the same history of the log.
    pub append_id: Option<names::RecordId>,
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
    /// The start of a granter's term.
    Term(TermBody),
    /// A domain's new witness set, once a majority of the old one knows of it.
    Settle(SettleBody),
    /// A part of a checkpoint.
    Checkpoint(CheckpointBody),
    /// A part of a state that a host had replayed before the log came back from an older copy.
    Restore(CheckpointBody),
}

/// Changes to one version of the configuration.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PatchBody {
    /// The configuration version that the changes apply to.
    pub base: u64,
    /// The changes, in the order in which they are applied.
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
    /// The number of the witness set.
    pub witness_set: u64,
}

/// One part of a checkpoint.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CheckpointBody {
    /// The offset of the first record that the checkpoint does not cover.
    pub covered: u64,
    /// The hash of the checkpoint's whole text.
    pub digest: u64,
    /// The part's number, from 0.
    pub part: u32,
    /// The number of parts.
    pub parts: u32,
    /// The text of this part.
    pub text: String,
}

/// Why a record could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(snafu::Snafu)]
pub enum RecordError {
    /// The text is larger than a record may be.
    #[snafu(display("step=decode-record size={bytes} limit={MAX_RECORD_BYTES}"))]
    Oversize {
        /// The size of the text, in bytes.
        bytes: usize,
    },
    /// The text is not a valid record.
    #[snafu(display("step=decode-record fault=\"{message}\""))]
    Malformed {
        /// The parser's message.
        message: String,
    },
}

impl LogRecord {
    /// Creates a record.
    #[must_use]
    pub const fn new(id: names::RecordId, body: RecordBody) -> Self {
        Self {
            id,
            append_id: None,
            body,
        }
    }

    /// Decodes a record from the text stored in the log.
    ///
    /// # Errors
    /// Fails when the text is larger than [`MAX_RECORD_BYTES`] or is not a valid record.
    pub fn decode(text: &str) -> Result<Self, RecordError> {
        if text.len() > MAX_RECORD_BYTES {
            return OversizeSnafu { bytes: text.len() }.fail();
        }
        serde_json::from_str(text).map_err(|e| RecordError::Malformed {
            message: e.to_string(),
        })
    }

    /// Encodes the record as text for the log.
    ///
    /// # Panics
    /// Never: every record can be encoded as JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("every record can be encoded as JSON")
    }
}
