/** Demand reports of gateways, and the admission decision of the directory's leader. */

/** Offered programs of one tenant; an empty name stands for programs without a tenant. */
export type OfferedRate = [tenant: string, programsPerMinute: number];

export interface PriorityDemand {
  /** 0 is the most urgent. */
  priority: number;
  /** Sessions with a turn that is in flight or has just ended. */
  sessions: number;
  offered: OfferedRate[];
}

export interface ServiceDemand {
  service: string;
  /** Model calls in flight at the reporting gateway. */
  inFlight: number;
  priorities: PriorityDemand[];
}

/** Totals of one gateway, never differences, so that lost or repeated reports do no harm. */
export type DemandReport = ServiceDemand[];

export interface TenantFraction {
  tenant: string;
  fraction: number;
}

export interface PriorityAdmission {
  priority: number;
  /** Admitted fraction of all first turns of the priority. */
  fraction: number;
  /** Tenants that are not admitted entirely; if empty, `fraction` applies to every tenant. */
  limited: TenantFraction[];
}

/** The decision for one service; all its priorities are listed, the most urgent first. */
export interface ServiceAdmission {
  service: string;
  /** Expected calls in flight as a fraction of the slots of the service's backends. */
  pressure: number;
  priorities: PriorityAdmission[];
}
