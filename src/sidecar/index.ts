export * from './backend_tracker.js';
export * from './keyed_store.js';
export * from './node.js';
export * from './routing.js';
export * from './settings.js';
