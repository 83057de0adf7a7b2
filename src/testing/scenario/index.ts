export * from './checks.js';
export * from './events.js';
export * from './language.js';
export * from './world.js';
