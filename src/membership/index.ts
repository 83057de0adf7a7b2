export {DiscoveryLog} from './discovery_log.js';
export * from './node_record.js';
export * from './own_record.js';
export * from './peer_link_manager.js';
export * from './roster.js';
export * from './suspicion.js';
export {addTraffic, noTraffic, type Traffic} from './frame_socket.js';
