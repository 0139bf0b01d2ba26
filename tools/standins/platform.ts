import { giveJson, handles, takeCalls, takeJson } from '../../src/shared/transport/handlers';
import { Outcome } from '../../src/shared/errors/errors';
import { Call, Listening, Ports } from '../../src/shared/ports/ports';
import { Engine } from '../../src/shared/state/words';

/** The stand-in platform's list, which a test or the runner changes. */
class PlatformEdge {
  constructor(
    readonly engines: Engine[],
    private readonly served: (peer: string) => void,
  ) {}

  @handles('GET', '/api/engines')
  async list(call: Call): Promise<void> {
    this.served(call.peer);
    giveJson(call, 200, { engines: this.engines });
  }

  @handles('PUT', '/api/engines')
  async put(call: Call): Promise<void> {
    const b = (await takeJson(call, 1 << 20)) as { engines: Engine[] } | undefined;
    if (!b) return;
    this.engines.splice(0, this.engines.length, ...b.engines);
    giveJson(call, 200, { engines: this.engines.length });
  }
}

function nothing(): void {}

/** Starts a stand-in platform. */
export function startPlatform(
  ports: Ports,
  at: string,
  engines: Engine[],
  served: (peer: string) => void = nothing,
): Promise<Outcome<Listening>> {
  return ports.wire.serve(at, takeCalls([new PlatformEdge(engines, served)], ports.log));
}
