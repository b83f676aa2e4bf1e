/** The gateway process. */
export { GatewayProcess } from './gateway-process.js';
