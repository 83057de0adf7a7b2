export * from './node_record.js';
export * from './peer_links.js';
export * from './roster.js';
