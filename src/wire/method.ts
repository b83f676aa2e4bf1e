/** Typed remote procedures: a method's name together with its request and response types. */

export interface Method<Request, Response> {
  readonly name: string;
  /** Only for the type checker; never set. */
  readonly types?: { request: Request; response: Response };
}

export function defineMethod<Request, Response>(name: string): Method<Request, Response> {
  return { name };
}

/** What a handler knows about the request's sender. */
export interface CallContext {
  /** The name that the sender gave and proved with the shared secret. */
  peerName: string;
}

export type Handler<Request, Response> = (
  request: Request,
  context: CallContext,
) => Promise<Response> | Response;

/** Maps method names to handlers. */
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
