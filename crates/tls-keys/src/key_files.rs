//! Reads the files of a generation.

use std::fmt;
use std::path::{Path, PathBuf};

use zeroize::Zeroizing;

use crate::error::{KeyError, KeyProblem};

/// The largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The permissions of group and others in a file's mode.
#[cfg(unix)]
const OTHERS_PERMISSIONS: u32 = 0o077;

/// The files of the own identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentityFiles {
    /// The chain, the own certificate first.
    pub chain: PathBuf,
    /// The private key of the own certificate.
    pub key: PathBuf,
}

/// The files of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificates of the authorities that are trusted.
    pub trusted_roots: PathBuf,
    /// The own identity, where there is one.
    pub identity: Option<IdentityFiles>,
    /// Lists of revoked certificates.
    pub revocation_lists: Vec<PathBuf>,
    /// Whether a private key that others may read is accepted.
    pub allow_world_readable_key: bool,
}

/// The content of a file, with its name.
pub struct PemFile {
    /// The name of the file.
    pub file: String,
    /// Its content, wiped when it is dropped.
    pub bytes: Zeroizing<Vec<u8>>,
}

/// The content of the files of the own identity.
pub struct IdentityMaterial {
    /// The chain, the own certificate first.
    pub chain: PemFile,
    /// The private key of the own certificate.
    pub key: PemFile,
}

/// The content of all files of a generation, wiped when it is dropped.
pub struct KeyMaterial {
    /// Certificates of the authorities that are trusted.
    pub trusted_roots: PemFile,
    /// The own identity, where there is one.
    pub identity: Option<IdentityMaterial>,
    /// Lists of revoked certificates.
    pub revocation_lists: Vec<PemFile>,
}

impl fmt::Debug for KeyMaterial {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let KeyMaterial { trusted_roots, revocation_lists, .. } = self;
        write!(f, "KeyMaterial({}, {} revocation lists)", trusted_roots.file, revocation_lists.len())
    }
}

impl KeyFiles {
    /// Reads all files. Fails at the first that cannot be read, or that holds a key which others may read.
    pub fn read(&self) -> Result<KeyMaterial, KeyError> {
        let identity = match &self.identity {
            None => None,
            Some(IdentityFiles { chain, key }) => {
                self.check_private(key)?;
                Some(IdentityMaterial { chain: read_file(chain)?, key: read_file(key)? })
            }
        };
        let revocation_lists =
            self.revocation_lists.iter().map(|file| read_file(file)).collect::<Result<_, _>>()?;
        Ok(KeyMaterial { trusted_roots: read_file(&self.trusted_roots)?, identity, revocation_lists })
    }

    /// A key that others may read is no secret.
    #[cfg(unix)]
    fn check_private(&self, key: &Path) -> Result<(), KeyError> {
        use std::os::unix::fs::PermissionsExt;
        let name = key.display().to_string();
        let metadata = std::fs::metadata(key).map_err(|error| unreadable(&name, &error))?;
        let mode = metadata.permissions().mode() & OTHERS_PERMISSIONS;
        if mode != 0 && !self.allow_world_readable_key {
            return Err(KeyError::new(&name, KeyProblem::ReadableByOthers { mode }));
        }
        Ok(())
    }

    #[cfg(not(unix))]
    fn check_private(&self, _key: &Path) -> Result<(), KeyError> {
        Ok(())
    }
}

fn read_file(path: &Path) -> Result<PemFile, KeyError> {
    let file = path.display().to_string();
    let length = std::fs::metadata(path).map_err(|error| unreadable(&file, &error))?.len();
    if length > MAX_FILE_BYTES {
        return Err(KeyError::new(&file, KeyProblem::TooLarge { bytes: length }));
    }
    let bytes = std::fs::read(path).map_err(|error| unreadable(&file, &error))?;
    Ok(PemFile { file, bytes: Zeroizing::new(bytes) })
}

fn unreadable(file: &str, error: &std::io::Error) -> KeyError {
    KeyError::new(file, KeyProblem::Unreadable { cause: error.to_string() })
}
