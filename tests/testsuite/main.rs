//! The test suite: one binary, a module for each subject.

mod answers;
mod course;
mod deposits;
mod disk;
mod domains;
mod entry;
mod events;
mod explain;
mod input;
mod kept;
mod listing;
mod members;
mod model_fleet;
mod model_nodes;
mod model_record;
mod orders;
mod overload;
mod pages;
mod pools;
mod record;
mod shutdown;
mod slots;
mod support;
mod totals;
mod traffic;
mod view;
