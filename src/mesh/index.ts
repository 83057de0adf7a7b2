export * from './known_node.js';
export * from './link.js';
export * from './mesh.js';
export * from './messages.js';
