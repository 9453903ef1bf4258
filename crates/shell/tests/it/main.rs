//! Tests of the runtime support.

mod body_budget;
