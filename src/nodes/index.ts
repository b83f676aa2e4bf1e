/** Processes that forward calls of agent programs, independent of the callers' protocol. */
export { ControlNode, type NodeHooks } from './control-node.js';
export { GatewayNode, type GatewayNodeOptions } from './gateway-node.js';
export { JournalNode } from './journal-node.js';
export * from './node-settings.js';
