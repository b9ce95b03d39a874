//! HTTP helpers that the listeners and clients share.
