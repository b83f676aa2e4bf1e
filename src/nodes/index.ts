/** The processes that forward calls of agent programs, independent of any caller's protocol. */
export { ControlNode, type NodeHooks } from './control-node.js';
export { GatewayNode, type GatewayNodeOptions } from './gateway-node.js';
export { JournalNode } from './journal-node.js';
export * from './node-settings.js';
