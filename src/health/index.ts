export * from './cusum.js';
export * from './exclusion_rule.js';
export * from './server_health.js';
