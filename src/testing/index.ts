export * from './fake_log.js';
export * from './fleet.js';
export * from './ports.js';
export * from './key_world.js';
export * from './process.js';
export * from './load.js';
export * from './settings_text.js';
export * from './summary.js';
