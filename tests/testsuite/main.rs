//! The test suite: one binary, a module for each subject.

mod answers;
mod model_nodes;
mod model_record;
mod support;
