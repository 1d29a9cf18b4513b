//! Tests of the owner of a pool.
