export * from './bundle.js';
