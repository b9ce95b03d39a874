//! Decides which runner holds which model, and gives the orders.

mod order_book;
mod order_task;

pub use {order_book::*, order_task::*};
