/** Configuration of a small deployment, in the form of PROTOCOL.md. */
import { HOST } from './client.mjs';

/** @param changes by name of the route */
export function configurationOf(generation, changes = {}) {
  const stream = {
    host: HOST,
    routeType: 'streaming',
    timeoutMs: 3000,
    sloMs: 200,
    priority: 0,
    backend: 'models',
    maxAttempts: 2,
    retainHistory: true,
    retentionS: 60,
    sessionAffinity: true,
    allowResume: false,
    gapAimMs: 300,
  };
  const plain = {
    host: HOST,
    timeoutMs: 2000,
    sloMs: 200,
    priority: 2,
    backend: 'portal',
    maxAttempts: 1,
    retainHistory: false,
    sessionAffinity: false,
    allowResume: false,
  };
  const routes = [
    { name: 'kept', pathPrefix: '/kept/', ...stream },
    { name: 'long', pathPrefix: '/long/', ...stream },
    { name: 'first', pathPrefix: '/first/', ...stream, retainHistory: false, priority: 1 },
    { name: 'lookup', pathPrefix: '/lookup/', routeType: 'unsafe', ...plain },
  ];
  return {
    generation,
    routes: routes.map((route) => ({ ...route, ...changes[route.name] })),
    services: [
      {
        name: 'models',
        healthPath: '/healthz',
        maxConns: 160,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 12,
          kvCapacity: 490370,
          tokenKvBytes: 327680,
          linkMbps: 2900000,
          kvBackups: true,
          tokensPerEvent: 25,
          most: 12,
          pinMs: 4000,
          holdMs: 2000,
          handle_s: 5,
          models: [{ name: 'm' }],
        },
      },
      { name: 'portal', healthPath: '/healthz', maxConns: 110, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}
