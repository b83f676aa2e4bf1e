/**
 * A configuration as it is replicated, kept and sent to gateways: packed once, by the process that
 * takes the order. A configuration of thousands of routes takes a leader hundreds of milliseconds to
 * encode for all its gateways, but almost nothing to copy. JSON, because the engine reads it natively: a
 * gateway that has just started reads MessagePack with code that is not compiled yet.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { RouteConfiguration } from '../routes/index.js';

export interface PackedConfiguration {
  /** Chosen by operators; the highest prevails. */
  generation: number;
  /** The `RouteConfiguration`, in JSON, deflated. */
  routes: Uint8Array;
  /** What the operator sent, given back word for word when it is read; UTF-8, deflated. */
  source: Uint8Array;
}

/** The fastest level: routes resemble each other, so it already shrinks them about tenfold. */
const DEFLATE_LEVEL = 1;

export function packConfiguration(
  configuration: RouteConfiguration,
  source: string,
): PackedConfiguration {
  return {
    generation: configuration.generation,
    routes: deflateRawSync(JSON.stringify(configuration), { level: DEFLATE_LEVEL }),
    source: deflateRawSync(source, { level: DEFLATE_LEVEL }),
  };
}

/** @param routes of a `PackedConfiguration` */
export function unpackRoutes(routes: Uint8Array): RouteConfiguration {
  return JSON.parse(inflateRawSync(routes).toString('utf8')) as RouteConfiguration;
}

export function unpackSource({ source }: PackedConfiguration): string {
  return inflateRawSync(source).toString('utf8');
}
