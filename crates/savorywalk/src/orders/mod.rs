//! Orders to endpoints: which model, adapter, version and role each shall have.
//! See docs/design/orders.md.
