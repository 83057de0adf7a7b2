export * from './clock.js';
export * from './decode.js';
export * from './errors.js';
export * from './event_queue.js';
export * from './hash.js';
export * from './ids.js';
export * from './logger.js';
export * from './random.js';
