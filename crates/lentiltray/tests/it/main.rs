//! Integration tests of the daemon, one module per feature.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod answer_heads;
mod attempt_limit;
mod backup_streams;
mod bad_requests;
mod broken_resumes;
mod caller;
mod config_backlog;
mod copy_age;
mod daemon_process;
mod dropped_idle;
mod end_to_end;
mod endless_answers;
mod endless_at_agent;
mod endpoint_rest;
mod engine_crash;
mod engine_orders;
mod fake_http;
mod fake_store;
mod forwarded_requests;
mod free_names;
mod gateway_harness;
mod graceful_stop;
mod keep_alive;
mod keyed_calls;
mod killed_engines;
mod killed_executor;
mod leaving_answers;
mod lost_store;
mod misbehaving_clients;
mod moved_streams;
mod named_limits;
mod odd_answers;
mod odd_entries;
mod odd_statuses;
mod operations_pages;
mod operator_changes;
mod ordered_stops;
mod out_of_step;
mod planned_stop;
mod poison_request;
mod prompt_part;
mod raw_grpc;
mod report_age;
mod request_floods;
mod restarted_endpoints;
mod restored_play;
mod restored_starts;
mod restored_store;
mod rollout_evidence;
mod rollout_orders;
mod separate_processes;
mod service_crash;
mod settings_check;
mod shared_log;
mod slow_readers;
mod stale_refusals;
mod stalled_streams;
mod startup_code;
mod stop_signals;
mod stopped_streams;
mod taken_up_play;
mod taken_up_streams;
mod tls_connections;
mod trace_propagation;
mod unrecorded_streams;
mod version_choice;
mod version_fleet;
