export * from './fleet.js';
export * from './process.js';
