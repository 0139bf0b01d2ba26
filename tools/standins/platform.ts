import {
  sendJson,
  httpHandler,
  makeRequestListener,
  readJsonBody,
} from '../../src/shared/transport/http-handlers';
import { Result } from '../../src/shared/errors/errors';
import { IncomingRequest, Listener } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { Engine } from '../../src/shared/state/engines';

/** The stand-in platform's list, which a test or the runner changes. */
class PlatformEdge {
  constructor(
    readonly engines: Engine[],
    private readonly served: (peer: string) => void,
  ) {}

  @httpHandler('GET', '/api/engines')
  list(call: IncomingRequest): Promise<void> {
    this.served(call.peer);
    sendJson(call, 200, { engines: this.engines });
    return Promise.resolve();
  }

  @httpHandler('PUT', '/api/engines')
  async put(call: IncomingRequest): Promise<void> {
    const b = (await readJsonBody(call, 1 << 20)) as { engines: Engine[] } | undefined;
    if (!b) return;
    this.engines.splice(0, this.engines.length, ...b.engines);
    sendJson(call, 200, { engines: this.engines.length });
  }
}

function nothing(): void {
  // does nothing on purpose
}

/** Starts a stand-in platform. */
export function startPlatform(
  ports: Ports,
  at: string,
  engines: Engine[],
  served: (peer: string) => void = nothing,
): Promise<Result<Listener>> {
  return ports.network.serveHttp(
    at,
    makeRequestListener([new PlatformEdge(engines, served)], ports.logger),
  );
}
