/** Reads a process's own meters from its metrics page. */
import { request } from 'undici';

/** One number from a metrics page; 0 when it is not there. */
export async function readMetric(statusAddress: string, name: string): Promise<number> {
  return metricIn(await readMetrics(statusAddress), name);
}

export async function readMetrics(statusAddress: string): Promise<string> {
  const response = await request(`http://${statusAddress}/metrics`);
  return response.body.text();
}

export function metricIn(page: string, name: string): number {
  return Number(new RegExp(`^${name} ([0-9.e+-]+)`, 'm').exec(page)?.[1] ?? 0);
}

/** Processor time that a process has used so far, in seconds. */
export function readProcessCpuSeconds(statusAddress: string): Promise<number> {
  return readMetric(statusAddress, 'process_cpu_seconds_total');
}
