export * from './announcements.js';
export * from './call.js';
export * from './data_port.js';
export * from './fair_queue.js';
export * from './guard.js';
export * from './slot_limiters.js';
export * from './slot_limiter.js';
export {isConnectError} from './probe.js';
