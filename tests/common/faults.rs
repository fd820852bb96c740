//! Faults of system calls, put into a program that a test starts. What the control file says holds within some
//! milliseconds.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

use super::program::file;

/// Error numbers as Linux gives them.
pub const EINTR: i32 = 4;
pub const ENFILE: i32 = 23;
pub const EMFILE: i32 = 24;
pub const EADDRINUSE: i32 = 98;
pub const EADDRNOTAVAIL: i32 = 99;
pub const ENETUNREACH: i32 = 101;
pub const ECONNABORTED: i32 = 103;
pub const ENOBUFS: i32 = 105;

/// The faults of one program.
pub struct Faults {
    base: String,
    library: &'static Path,
    control: PathBuf,
}

/// The library that makes calls fail, built once for each test program.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = std::env::temp_dir().join(format!("inference-router-faults-{}.so", std::process::id()));
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/shim/faults.c");
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O1", "-o"]).args([&path, &source]).arg("-ldl");
        assert!(compiler.status().expect("a C compiler").success(), "the library of faults is built");
        path
    })
}

impl Faults {
    /// Faults for the program at these addresses; each is a line of the control file.
    pub fn new(base: &str, faults: &[String]) -> Self {
        let control = file(base, "faults", &faults.join("\n"));
        Faults { base: base.to_owned(), library: library(), control }
    }

    /// What the program has to be started with.
    pub fn variables(&self) -> [(&str, &Path); 2] {
        [("LD_PRELOAD", self.library), ("FAULTS_FILE", &self.control)]
    }

    /// Other faults from now on.
    pub fn set(&self, faults: &[String]) {
        let next = file(&self.base, "faults.next", &faults.join("\n"));
        std::fs::rename(next, &self.control).expect("a file of the test");
    }
}

/// So many in a hundred of these calls fail with this error.
pub fn failing(call: &str, error: i32, percent: u32) -> String {
    format!("{call} {error} {percent}")
}

/// The wall clock is off by so many seconds.
pub fn clock_off(seconds: i64) -> String {
    format!("clock 0 {seconds}")
}
