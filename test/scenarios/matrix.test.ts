import {registerScenarios} from './register.js';

registerScenarios(name => name.startsWith('matrix'));
