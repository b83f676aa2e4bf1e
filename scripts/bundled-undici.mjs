/** The one class of undici that the platform's program uses, without the rest of the package. */
import Client from '../node_modules/undici/lib/dispatcher/client.js';

export { Client };
