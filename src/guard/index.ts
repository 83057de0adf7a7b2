export * from './announcements.js';
export * from './call.js';
export * from './data_port.js';
export * from './guard.js';
export * from './slots.js';
export {isConnectError} from './probe.js';
