//! Small stand-ins for the systems around hibiscusroad, for its tests and demo.
