/** API for operators: plans, confirmation, status, history. */
export * from './messages.js';
export { OperatorApi, type OperatorApiOptions } from './operator-api.js';
