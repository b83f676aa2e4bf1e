/**
 * A configuration as it is replicated, stored and sent to gateways. It is packed once, by the process that
 * receives it from the operator, so that the leader does not encode it for each gateway. It is JSON, because
 * V8 parses JSON natively, while a process that has just started would decode MessagePack with cold code.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { RouteConfiguration } from '../routes/index.js';

export interface PackedConfiguration {
  /** Chosen by operators; the highest generation wins. */
  generation: number;
  /** The `RouteConfiguration` as deflated JSON. */
  routes: Uint8Array;
  /** The operator's source text, returned unchanged when it is read; deflated UTF-8. */
  source: Uint8Array;
}

/** The fastest level; it suffices because routes resemble each other. */
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
