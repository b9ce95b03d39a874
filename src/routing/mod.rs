//! Decides which runner a request goes to.
