/** Reads the metrics of a process. */
import { request } from 'undici';

const REQUEST_TIMEOUT_MS = 10_000;

export async function readMetrics(
  statusAddress: string,
  timeoutMs = REQUEST_TIMEOUT_MS,
): Promise<string> {
  const response = await request(`http://${statusAddress}/metrics`, {
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  return response.body.text();
}

/** Returns the value of a metric without labels; 0 if it is missing. */
export function metricValue(page: string, name: string): number {
  return Number(new RegExp(`^${name} ([0-9.e+-]+)`, 'm').exec(page)?.[1] ?? 0);
}

/** Reads the CPU time of a process, in seconds. */
export async function readProcessCpuSeconds(statusAddress: string): Promise<number> {
  return metricValue(await readMetrics(statusAddress), 'process_cpu_seconds_total');
}
