//! The secret that the processes of one deployment share.

use std::path::Path;

use thiserror::Error;

/// Size of a tag in bytes.
pub const TAG_BYTES: usize = 16;

/// Authentication tag.
pub type Tag = [u8; TAG_BYTES];

/// A key file that can't be used.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file can't be read.
    #[error("cannot read the key file {file}: {source}")]
    Read {
        /// File.
        file: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// The file does not hold 64 hexadecimal digits.
    #[error("the key file {file} must hold 64 hexadecimal digits on one line")]
    Format {
        /// File.
        file: Box<str>,
    },
}

/// Shared secret of a deployment.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl From<[u8; 32]> for Key {
    fn from(raw: [u8; 32]) -> Self {
        Self(raw)
    }
}

impl Key {
    /// Reads 64 hexadecimal digits.
    ///
    /// # Errors
    /// When the file can't be read or holds something else.
    pub fn read(path: &Path) -> Result<Self, KeyError> {
        let file: Box<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| KeyError::Read {
            file: file.clone(),
            source,
        })?;
        let hash = blake3::Hash::from_hex(text.trim()).map_err(|_| KeyError::Format { file })?;
        Ok(Self(*hash.as_bytes()))
    }

    /// Key that follows from a name that everybody may know. Its tags find damage and messages of
    /// another deployment; they keep no attacker out.
    #[must_use]
    pub fn public(name: &str) -> Self {
        Self(blake3::derive_key(
            "jacinthsill public key",
            name.as_bytes(),
        ))
    }

    /// Tag over several parts; callers keep the parts unambiguous.
    #[must_use]
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Whether a tag belongs to the parts; compares in constant time.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let right = self.tag(parts);
        tag.len() == TAG_BYTES && right.iter().zip(tag).fold(0, |diff, (a, b)| diff | (a ^ b)) == 0
    }

    /// Appends a tag to a body that is sent to `path`.
    #[must_use]
    pub fn seal(&self, path: &str, request: &[u8], mut body: Vec<u8>) -> Vec<u8> {
        let tag = self.tag(&[path.as_bytes(), &[0], request, &body]);
        body.extend_from_slice(&tag);
        body
    }

    /// Checks and splits a sealed body into the body and its tag.
    #[must_use]
    pub fn open<'a>(
        &self,
        path: &str,
        request: &[u8],
        sealed: &'a [u8],
    ) -> Option<(&'a [u8], Tag)> {
        let (body, tag) = sealed.split_at_checked(sealed.len().checked_sub(TAG_BYTES)?)?;
        let tag: Tag = tag.try_into().ok()?;
        let parts = [path.as_bytes(), &[0], request, body];
        self.verify(&parts, &tag).then_some((body, tag))
    }
}
