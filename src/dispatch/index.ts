export * from './placement.js';
export * from './refusal.js';
export * from './windowed_retry_budget.js';
export * from './fault_estimator.js';
export * from './weighted_round_robin.js';
export * from './slot_queue.js';
export * from './run_duration_estimator.js';
export * from './request_rate_limit.js';
