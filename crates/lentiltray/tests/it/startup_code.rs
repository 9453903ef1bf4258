//! No code of a dependency runs before `main`.

use std::path::Path;

/// Functions that run before `main` in every program: one of the C runtime and one of the
/// standard library; on arm64 also two of the compiler's support library, which look up the
/// features of the processor.
const EXPECTED: u64 = if cfg!(target_arch = "aarch64") { 4 } else { 2 };
/// Type of the section with these functions.
const INIT_ARRAY: u32 = 14;
const POINTER_BYTES: u64 = 8;

fn number(bytes: &[u8], at: usize, length: usize) -> u64 {
    let mut number = [0; 8];
    number[..length].copy_from_slice(&bytes[at..at + length]);
    u64::from_le_bytes(number)
}

/// Number of functions that a 64-bit ELF file runs before `main`.
fn startup_functions(file: &Path) -> u64 {
    let bytes = std::fs::read(file).unwrap();
    assert_eq!(&bytes[..5], b"\x7fELF\x02");
    let sections_at = usize::try_from(number(&bytes, 0x28, 8)).unwrap();
    let section_bytes = usize::try_from(number(&bytes, 0x3a, 2)).unwrap();
    let sections = usize::try_from(number(&bytes, 0x3c, 2)).unwrap();
    (0..sections)
        .map(|index| sections_at + index * section_bytes)
        .filter(|at| number(&bytes, at + 4, 4) == u64::from(INIT_ARRAY))
        .map(|at| number(&bytes, at + 0x20, 8) / POINTER_BYTES)
        .sum()
}

/// A dependency once calibrated a clock at each start, which took seconds on a busy host.
#[test]
fn none_from_dependencies() {
    let program = Path::new(env!("CARGO_BIN_EXE_lentiltray"));
    assert_eq!(startup_functions(program), EXPECTED);
}
