export * from './check_steps.js';
export * from './event_steps.js';
export * from './gherkin.js';
export * from './world.js';
