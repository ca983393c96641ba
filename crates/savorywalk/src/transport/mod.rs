//! Links between the system's own processes. See docs/design/links.md.
