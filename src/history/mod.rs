//! Records of concurrent runs, and the checkers that judge them.
