export * from './fleet.js';
export * from './ports.js';
export * from './process.js';
export * from './load.js';
export * from './settings_text.js';
export * from './summary.js';
