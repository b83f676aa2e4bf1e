/** Shared admission of programs: demand reports, the leader's decision and its application. */
export { AdmissionLeader, type AdmissionLeaderOptions } from './admission-leader.js';
export {
  type AdmissionDecision,
  GatewayAdmission,
  type GatewayAdmissionOptions,
  type ModelCall,
} from './gateway-admission.js';
export * from './messages.js';
export { type SlowdownLookup, effectiveSlots, serviceCapacities } from './service-capacity.js';
