//! Membership: which daemons are there, and which are leaving or gone.
//! See docs/design/membership.md.
