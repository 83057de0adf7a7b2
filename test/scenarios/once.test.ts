import {registerScenarios} from './register.js';

registerScenarios(name => /^(once|configuration)/.test(name));
