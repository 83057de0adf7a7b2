export * from './evidence.js';
export * from './judge.js';
export * from './server_health.js';
