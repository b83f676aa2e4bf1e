/** Reads a process's own meters from its metrics page. */
import { request } from 'undici';

const TIMEOUT_MS = 10_000;

export async function readMetrics(statusAddress: string, timeoutMs = TIMEOUT_MS): Promise<string> {
  const response = await request(`http://${statusAddress}/metrics`, {
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  return response.body.text();
}

/** One number from a metrics page; 0 when it is not there. */
export function metricValue(page: string, name: string): number {
  return Number(new RegExp(`^${name} ([0-9.e+-]+)`, 'm').exec(page)?.[1] ?? 0);
}

/** Processor time that a process has used so far, in seconds. */
export async function readProcessCpuSeconds(statusAddress: string): Promise<number> {
  return metricValue(await readMetrics(statusAddress), 'process_cpu_seconds_total');
}
