//! Secret key shared by the processes of one deployment.

use std::path::Path;

use thiserror::Error;

/// Size of an authentication tag in bytes.
pub const TAG_BYTES: usize = 16;

/// Authentication tag: a keyed BLAKE3 hash, truncated.
pub type Tag = [u8; TAG_BYTES];

/// Error of reading a key file.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file can't be read.
    #[error("cannot read the key file {file}: {source}")]
    Read {
        /// Path of the key file.
        file: Box<str>,
        /// Cause.
        source: std::io::Error,
    },
    /// The file does not hold 64 hexadecimal digits.
    #[error("the key file {file} must hold 64 hexadecimal digits on one line")]
    Format {
        /// Path of the key file.
        file: Box<str>,
    },
}

/// Key that authenticates the messages of a deployment.
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
    /// Reads a key file of 64 hexadecimal digits.
    ///
    /// # Errors
    /// If the file can't be read or has another format.
    pub fn read(path: &Path) -> Result<Self, KeyError> {
        let file: Box<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| KeyError::Read {
            file: file.clone(),
            source,
        })?;
        let hash = blake3::Hash::from_hex(text.trim()).map_err(|_| KeyError::Format { file })?;
        Ok(Self(*hash.as_bytes()))
    }

    /// Derives a key from a name that is not secret. Its tags detect corruption and messages of
    /// another deployment, but don't protect against an attacker.
    #[must_use]
    pub fn from_public_name(name: &str) -> Self {
        Self(blake3::derive_key(
            "jacinthsill public key",
            name.as_bytes(),
        ))
    }

    /// Computes the tag of the concatenated parts. The boundaries between parts are not
    /// authenticated, so the encoding must make them unambiguous.
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

    /// Checks the tag of the concatenated parts in constant time.
    #[must_use]
    pub fn verify_tag(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let expected = self.tag(parts);
        tag.len() == TAG_BYTES
            && expected
                .iter()
                .zip(tag)
                .fold(0, |diff, (a, b)| diff | (a ^ b))
                == 0
    }

    /// Appends a tag over `path`, `request_tag` and the body. `request_tag` is empty in a request,
    /// and the tag of the request in its reply.
    #[must_use]
    pub fn sign_body(&self, path: &str, request_tag: &[u8], mut body: Vec<u8>) -> Vec<u8> {
        let tag = self.tag(&[path.as_bytes(), &[0], request_tag, &body]);
        body.extend_from_slice(&tag);
        body
    }

    /// Splits a body signed by [`Key::sign_body`] into the body and its tag; `None` if the tag is
    /// wrong.
    #[must_use]
    pub fn verify_body<'a>(
        &self,
        path: &str,
        request_tag: &[u8],
        signed: &'a [u8],
    ) -> Option<(&'a [u8], Tag)> {
        let (body, tag) = signed.split_at_checked(signed.len().checked_sub(TAG_BYTES)?)?;
        let tag: Tag = tag.try_into().ok()?;
        let parts = [path.as_bytes(), &[0], request_tag, body];
        self.verify_tag(&parts, &tag).then_some((body, tag))
    }
}
