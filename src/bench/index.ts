export * from './link_fleet.js';
