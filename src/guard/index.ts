export * from './announcements.js';
export * from './call.js';
export * from './data_port.js';
export * from './fair_queue.js';
export * from './guard.js';
export * from './slot_tables.js';
export * from './slots.js';
export {isConnectError} from './probe.js';
