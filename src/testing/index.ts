export * from './fleet.js';
export * from './process.js';
export * from './guard.js';
