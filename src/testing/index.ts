export * from './fake_log.js';
export * from './fleet.js';
export * from './key_world.js';
export * from './process.js';
