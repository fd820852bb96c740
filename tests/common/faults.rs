//! Fault injection into the system calls of a process that a test starts. A change to the control file takes
//! effect within milliseconds.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use super::config_files::write_test_file;

/// Interrupted system call. All error numbers are those of Linux.
pub(crate) const EINTR: i32 = 4;
/// Too many open files in the system.
pub(crate) const ENFILE: i32 = 23;
/// Too many open files in the process.
pub(crate) const EMFILE: i32 = 24;
/// Address already in use.
pub(crate) const EADDRINUSE: i32 = 98;
/// Cannot assign the requested address.
pub(crate) const EADDRNOTAVAIL: i32 = 99;
/// Network is unreachable.
pub(crate) const ENETUNREACH: i32 = 101;
/// Connection aborted before it was accepted.
pub(crate) const ECONNABORTED: i32 = 103;
/// No buffer space available.
pub(crate) const ENOBUFS: i32 = 105;

/// The injected faults of one process.
pub(crate) struct Faults {
    base: String,
    library: &'static Path,
    control_file: PathBuf,
}

/// Returns the path of the preload library that injects the faults. It is built once per test binary.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("inference-router-faults-{}.so", std::process::id()));
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shim/faults.c");
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).args([&path, &source]).arg("-ldl");
        assert!(
            compiler.status().expect("failed to run the C compiler").success(),
            "failed to build the fault injection library"
        );
        path
    })
}

impl Faults {
    /// Prepares fault injection for the process at this address. Each fault is a line of the control file.
    pub(crate) fn new(base: &str, faults: &[String]) -> Self {
        let control_file = write_test_file(base, "faults", &faults.join("\n"));
        Faults { base: base.to_owned(), library: library(), control_file }
    }

    /// Returns the environment variables to start the process with.
    pub(crate) fn variables(&self) -> [(&str, &Path); 2] {
        [("LD_PRELOAD", self.library), ("FAULTS_FILE", &self.control_file)]
    }

    /// Replaces all faults. The file is renamed into place, so that the process never reads a partial one.
    pub(crate) fn set(&self, faults: &[String]) {
        let next = write_test_file(&self.base, "faults.next", &faults.join("\n"));
        std::fs::rename(next, &self.control_file).expect("failed to replace the control file");
    }
}

/// A fault that makes this percentage of the calls fail with this error.
pub(crate) fn call_fault(call: &str, errno: i32, percent: u32) -> String {
    format!("{call} {errno} {percent}")
}

/// A fault that shifts the wall clock by this many seconds.
pub(crate) fn clock_shift(seconds: i64) -> String {
    format!("clock 0 {seconds}")
}
