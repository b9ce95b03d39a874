//! Decides which runner holds which model, and gives the orders.

mod order_book;

pub use order_book::*;
