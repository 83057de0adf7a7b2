import {registerScenarios} from './register.js';

registerScenarios(name => !/^(matrix|once|configuration)/.test(name));
