//! Tests of the steps of a start's decision, each by itself.

mod allowed;
mod best;
mod fair_share;
mod route;
mod spread;
mod turn;
