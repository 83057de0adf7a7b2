export * from './arbiter.js';
export * from './resolution_sender.js';
export * from './batcher.js';
export * from './client.js';
export * from './key_stream_reader.js';
export * from './key_table.js';
export * from './partition.js';
export * from './record.js';
