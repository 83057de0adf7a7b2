export * from './client.js';
