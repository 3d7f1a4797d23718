//! Checkpoints of the replayed state: splitting into parts, and assembly.

use crate::record;
use crate::replay;

impl replay::LogReplay {
    pub(super) fn apply_checkpoint(
        &mut self,
        body: &record::CheckpointBody,
    ) -> replay::ReplayEffect {
        if body.part + 1 == body.parts {
            self.state.checkpoints += 1;
            self.state.checkpoint_offset = self.state.next_offset;
        }
        replay::ReplayEffect::CheckpointSeen
    }

    /// Encodes the state as the parts of a checkpoint.
    ///
    /// # Panics
    /// Never: the state can always be encoded as JSON.
    #[must_use]
    pub fn to_checkpoint(&self) -> Vec<record::CheckpointBody> {
        encode_parts(&self.state)
    }

    /// Encodes the state as the parts by which a log is restored that has lost some of its records.
    ///
    /// # Panics
    /// Never: the state can always be encoded as JSON.
    #[must_use]
    pub fn to_restore(&self) -> Vec<record::CheckpointBody> {
        let mut state = self.state.clone();
        state.restoring = CheckpointAssembly::new();
        encode_parts(&state)
    }
}

fn encode_parts(state: &replay::ReplayState) -> Vec<record::CheckpointBody> {
    let text = serde_json::to_string(state).expect("the replayed state can be encoded as JSON");
    let digest = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    let pieces = split_text(&text, replay::CHECKPOINT_PART_BYTES);
    let parts = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    (0..parts)
        .zip(pieces)
        .map(|(part, piece)| record::CheckpointBody {
            covered: state.next_offset,
            digest,
            part,
            parts,
            text: piece.into(),
        })
        .collect()
}

fn split_text(text: &str, bytes: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > bytes {
        let cut = rest.floor_char_boundary(bytes);
        let (piece, tail) = rest.split_at(cut);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Assembles a checkpoint from its parts as they are read from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct CheckpointAssembly {
    digest: u64,
    parts: Vec<String>,
}

impl CheckpointAssembly {
    /// Creates an assembly without parts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the next part; returns the state after the last part if the digest matches. A part out
    /// of order is ignored.
    pub fn add(&mut self, body: &record::CheckpointBody) -> Option<replay::ReplayState> {
        if body.part == 0 {
            self.parts.clear();
            self.digest = body.digest;
        }
        let in_order = self.parts.len() == body.part as usize && self.digest == body.digest;
        if !in_order {
            return None;
        }
        self.parts.push(body.text.clone());
        if body.part + 1 != body.parts {
            return None;
        }
        let text = self.parts.concat();
        if xxhash_rust::xxh3::xxh3_64(text.as_bytes()) != body.digest {
            return None;
        }
        let state: replay::ReplayState = serde_json::from_str(&text).ok()?;
        (state.next_offset == body.covered).then_some(state)
    }
}
