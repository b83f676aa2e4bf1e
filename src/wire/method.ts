/** Typed remote procedures: a method name with its request and response types. */

export interface Method<Request, Response> {
  readonly name: string;
  /** Type information only; never set at run time. */
  readonly types?: { request: Request; response: Response };
}

export function defineMethod<Request, Response>(name: string): Method<Request, Response> {
  return { name };
}

/** Information about the sender of a request. */
export interface CallContext {
  /** Authenticated name of the sender. */
  peerName: string;
}

export type Handler<Request, Response> = (
  request: Request,
  context: CallContext,
) => Promise<Response> | Response;

export class MethodRouter {
  private readonly handlers = new Map<string, Handler<unknown, unknown>>();

  handle<Request, Response>(
    method: Method<Request, Response>,
    handler: Handler<Request, Response>,
  ): void {
    this.handlers.set(method.name, handler as Handler<unknown, unknown>);
  }

  find(name: string): Handler<unknown, unknown> | undefined {
    return this.handlers.get(name);
  }
}
