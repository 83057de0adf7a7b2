export * from './change.js';
export * from './configuration.js';
export * from './fold.js';
export * from './follower.js';
export * from './presets.js';
