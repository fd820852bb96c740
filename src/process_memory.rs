//! Memory of this process as the operating system accounts it.

use procfs_core::process::Status;
use procfs_core::{FromRead, ProcResult};

const STATUS_FILE: &str = "/proc/self/status";
const BYTES_PER_KIB: u64 = 1024;

/// Memory of this process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Memory that belongs to this process alone: anonymous pages and shared memory. The platform's limit
    /// applies to it.
    pub own: u64,
    /// All resident memory, including pages of files such as the program itself.
    pub resident: u64,
}

impl ProcessMemory {
    /// Reads the current values.
    ///
    /// # Errors
    ///
    /// Returns an error if the process's status cannot be read, for example because no file descriptor is
    /// free.
    pub fn read() -> ProcResult<Self> {
        let status = Status::from_file(STATUS_FILE)?;
        let own = status.rssanon.unwrap_or(0) + status.rssshmem.unwrap_or(0);
        let resident = status.vmrss.unwrap_or(0);
        Ok(ProcessMemory { own: own * BYTES_PER_KIB, resident: resident * BYTES_PER_KIB })
    }
}
