//! The control role: what the replicated log decides, and the daemon around it.
//! See docs/design/control.md.
