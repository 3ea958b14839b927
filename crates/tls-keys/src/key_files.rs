//! Reads the files of a generation of certificates and keys.

use std::fmt;
use std::path::{Path, PathBuf};

use zeroize::Zeroizing;

use crate::error::{KeyError, KeyProblem};

/// Largest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The permission bits of group and others in a file's mode.
#[cfg(unix)]
const OTHERS_PERMISSIONS: u32 = 0o077;

/// Files of this process's identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdentityFiles {
    /// Certificate chain, with the process's own certificate first.
    pub chain: PathBuf,
    /// Private key of the own certificate.
    pub key: PathBuf,
}

/// Files of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyFiles {
    /// Certificates of the trusted authorities.
    pub trusted_roots: PathBuf,
    /// This process's identity, if it has one.
    pub identity: Option<IdentityFiles>,
    /// Certificate revocation lists.
    pub revocation_lists: Vec<PathBuf>,
    /// Whether a private key is accepted that group or others have permissions on.
    pub allow_world_readable_key: bool,
}

/// A file's name and content.
pub struct PemFile {
    /// Name of the file.
    pub file: String,
    /// Content of the file, overwritten with zeros when dropped.
    pub bytes: Zeroizing<Vec<u8>>,
}

/// Content of the files of this process's identity.
pub struct IdentityMaterial {
    /// Certificate chain, with the process's own certificate first.
    pub chain: PemFile,
    /// Private key of the own certificate.
    pub key: PemFile,
}

/// Content of all files of a generation, overwritten with zeros when dropped.
pub struct KeyMaterial {
    /// Certificates of the trusted authorities.
    pub trusted_roots: PemFile,
    /// This process's identity, if it has one.
    pub identity: Option<IdentityMaterial>,
    /// Certificate revocation lists.
    pub revocation_lists: Vec<PemFile>,
}

impl fmt::Debug for KeyMaterial {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let KeyMaterial { trusted_roots, revocation_lists, .. } = self;
        write!(f, "KeyMaterial({}, {} revocation lists)", trusted_roots.file, revocation_lists.len())
    }
}

impl KeyFiles {
    /// Reads all files. Fails at the first one that cannot be read or is larger than 4 MiB, or if group or others have
    /// permissions on the private key's file and `allow_world_readable_key` is not set.
    pub fn read(&self) -> Result<KeyMaterial, KeyError> {
        let identity = match &self.identity {
            None => None,
            Some(IdentityFiles { chain, key }) => {
                self.check_key_permissions(key)?;
                Some(IdentityMaterial { chain: read_file(chain)?, key: read_file(key)? })
            }
        };
        let revocation_lists =
            self.revocation_lists.iter().map(|file| read_file(file)).collect::<Result<_, _>>()?;
        Ok(KeyMaterial { trusted_roots: read_file(&self.trusted_roots)?, identity, revocation_lists })
    }

    /// Rejects a private key's file that group or others have permissions on, unless that is allowed.
    #[cfg(unix)]
    fn check_key_permissions(&self, key: &Path) -> Result<(), KeyError> {
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
    fn check_key_permissions(&self, _key: &Path) -> Result<(), KeyError> {
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
