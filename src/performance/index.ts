/** How fast back ends are, from the calls of this process. */
export { Pace } from './pace.js';
export { type CallWork, ServiceModel } from './service-model.js';
