/** Paths of an HTTP server with their handlers. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HttpProblem } from './problem.js';

export interface HttpExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Values of the pattern's `:name` segments. */
  parameters: Record<string, string>;
  query: URLSearchParams;
}

export type HttpHandler = (exchange: HttpExchange) => Promise<void>;

/** What a server that stops has to know of a route. */
export interface RouteOptions {
  /** Maximum time from the complete request to the end of its handler, in milliseconds. @default 0 */
  maxDurationMs?: () => number;
  /**
   * Returns the answer to a request that is not handled because it could not end before the process does.
   * @default a problem that says that the request did not run
   */
  refuse?: (exchange: HttpExchange) => Promise<HttpProblem>;
}

export interface MatchedRoute {
  handler: HttpHandler;
  options: RouteOptions;
  parameters: Record<string, string>;
}

interface Route {
  method: string;
  segments: string[];
  handler: HttpHandler;
  options: RouteOptions;
}

export class HttpRouter {
  private readonly routes: Route[] = [];

  /** Adds a route; `:name` in the pattern matches one path segment. */
  on(method: string, pattern: string, handler: HttpHandler, options: RouteOptions = {}): this {
    this.routes.push({ method, segments: pattern.split('/'), handler, options });
    return this;
  }

  find(method: string, path: string): MatchedRoute | undefined {
    const segments = path.split('/');
    for (const route of this.routes) {
      if (route.method !== method) continue;
      const parameters = matchSegments(route.segments, segments);
      if (parameters) return { handler: route.handler, options: route.options, parameters };
    }
    return undefined;
  }
}

function matchSegments(pattern: string[], path: string[]): Record<string, string> | undefined {
  if (pattern.length !== path.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, part] of pattern.entries()) {
    const actual = path[index]!;
    if (part.startsWith(':')) parameters[part.slice(1)] = decodeOrKeep(actual);
    else if (part !== actual) return undefined;
  }
  return parameters;
}

function decodeOrKeep(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
