export * from './hash.js';
