export * from './backend_server.js';
export * from './log_service.js';
export * from './relay.js';
