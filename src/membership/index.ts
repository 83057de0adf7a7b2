export {Contacts} from './contacts.js';
export * from './node_record.js';
export * from './own_record.js';
export * from './peer_links.js';
export * from './roster.js';
export * from './suspicion.js';
export {addTraffic, noTraffic, type Traffic} from './frame_socket.js';
