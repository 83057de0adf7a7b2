export * from './errors.js';
export * from './server.js';
export * from './views.js';
