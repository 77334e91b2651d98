//! The platform, behind a narrow client of plain functions.
