export * from './accounts.js';
export * from './body.js';
export * from './caller_error.js';
export * from './choose.js';
export * from './entry.js';
export * from './remote_guard.js';
export * from './retry_budget.js';
export * from './route_table.js';
