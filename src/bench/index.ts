export * from './membership_fleet.js';
