/** The only class of undici that the platform program uses. */
import Client from '../node_modules/undici/lib/dispatcher/client.js';

export { Client };
