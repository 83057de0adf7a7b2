export * from './node_calls.js';
