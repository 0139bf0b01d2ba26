import http from 'node:http';
import { splitAt } from '../../tools/standins/platform/serve';
import { Site } from '../../tools/standins/platform/site';
import { CrowdFleet, playCrowd } from './crowd-fleet';

const LIMITS = { memoryMb: 200, maxOpenFiles: 1024 };
const CLIENTS = 200;
const ANSWER_BYTES = 8 << 20;
const SMALL_BYTES = 200;
/** How long a connection may be idle, in the test's own configuration. */
const IDLE_MS = 3000;

let fleet: CrowdFleet;
let engine: http.Server;

function withShortIdleTime(site: Site): void {
  site.config.limits.idleTimeoutMs = IDLE_MS;
}

/** Has the engine of the public route give answers of 8 MB. */
async function giveLargeAnswers(): Promise<void> {
  const { app } = fleet.site;
  function isApp({ service }: { service: string }): boolean {
    return service === app;
  }
  const { at } = fleet.site.engines.find(isApp)!;
  await fleet.day.engines.get(at)!.end('reset');
  const body = Buffer.alloc(ANSWER_BYTES, 'a');
  function answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    request.resume();
    response.on('error', ignore);
    response.writeHead(200, {
      'Plumhollow-Attempt-Id': request.headers['plumhollow-attempt-id'] ?? '',
      'Plumhollow-Response-Seal': 'a.b.c.1.0.d',
      'Content-Length': body.length,
    });
    response.end(body);
  }
  engine = http.createServer(answer);
  function listen(done: () => void): void {
    engine.listen(splitAt(at), done);
  }
  await new Promise<void>(listen);
}

function ignore(): void {
  // the caller has gone
}

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS, withShortIdleTime);
  await giveLargeAnswers();
}

async function stop(): Promise<void> {
  engine.close();
  engine.closeAllConnections();
  await fleet.stop();
}

/** Guards against issue 65: answers that nobody read held all connections to the engines. */
function unread(): Promise<void> {
  return playCrowd(fleet, {
    form: 'unread answers',
    clients: CLIENTS,
    role: 'router',
    target: fleet.routerTarget(),
    ordinary: [fleet.callerRequest(SMALL_BYTES)],
  });
}

beforeEach(start);
afterEach(stop);

test('a router bears answers that nobody reads', unread);
