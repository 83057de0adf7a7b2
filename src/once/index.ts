export * from './arbiter.js';
export * from './backlog.js';
export * from './batcher.js';
export * from './client.js';
export * from './key_reader.js';
export * from './key_table.js';
export * from './partition.js';
export * from './record.js';
