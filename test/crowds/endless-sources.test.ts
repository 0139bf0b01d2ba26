import http from 'node:http';
import { ProcessWatch } from '../../tools/fleet/process-watch';
import { splitAt } from '../../tools/standins/platform/serve';
import { CrowdedRole, CrowdFleet, expectWithinLimits } from './crowd-fleet';

const LIMITS = { memoryMb: 200, maxOpenFiles: 1024 };
const ROLES: CrowdedRole[] = ['router', 'controller', 'indexer'];
const PIECE_BYTES = 65536;
/** Bytes after which a source gives an answer up: several times the memory of a process. */
const MOST_BYTES = 1 << 30;
/** Answers that were asked for before it is looked what they came to. */
const ANSWERS = 30;
const POLL_MS = 50;
const LIMIT_MS = 20000;

let fleet: CrowdFleet;
let sources: EndlessSource[] = [];

/** A server whose answers have no end. */
class EndlessSource {
  answers = 0;
  private readonly server: http.Server;
  private readonly piece: Buffer;

  constructor(
    private readonly at: string,
    private readonly headersOf: (request: http.IncomingMessage) => http.OutgoingHttpHeaders,
    private readonly begin: string,
  ) {
    this.piece = Buffer.alloc(PIECE_BYTES, 'a');
    this.server = http.createServer(this.answer.bind(this));
  }

  listen(): Promise<void> {
    const { server, at } = this;
    function run(resolve: () => void): void {
      server.listen(splitAt(at), resolve);
    }
    return new Promise(run);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private answer(request: http.IncomingMessage, response: http.ServerResponse): void {
    this.answers++;
    request.resume();
    response.on('error', ignore);
    response.writeHead(200, this.headersOf(request));
    response.write(this.begin);
    this.goOn(response, 0);
  }

  private goOn(response: http.ServerResponse, sent: number): void {
    if (response.destroyed || sent > MOST_BYTES) {
      response.destroy();
      return;
    }
    const next = this.goOn.bind(this, response, sent + PIECE_BYTES);
    if (response.write(this.piece)) setImmediate(next);
    else response.once('drain', next);
  }
}

function ignore(): void {
  // the reader has gone
}

function jsonHeaders(): http.OutgoingHttpHeaders {
  return { 'content-type': 'application/json' };
}

function streamHeaders({ headers }: http.IncomingMessage): http.OutgoingHttpHeaders {
  return {
    'content-type': 'text/event-stream',
    'plumhollow-attempt-id': headers['plumhollow-attempt-id'] ?? '',
    'plumhollow-response-seal': 'a.b.c.1.0.d',
  };
}

async function open(source: EndlessSource): Promise<EndlessSource> {
  sources.push(source);
  await source.listen();
  return source;
}

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS);
  sources = [];
}

async function stop(): Promise<void> {
  for (const source of sources) source.close();
  await fleet.stop();
}

function watchAll(): ProcessWatch[] {
  function watchRole(role: CrowdedRole): ProcessWatch {
    return fleet.watch(role);
  }
  return ROLES.map(watchRole);
}

function allAlive(watches: readonly ProcessWatch[]): boolean {
  function isAlive(watch: ProcessWatch): boolean {
    return watch.isAlive();
  }
  return watches.every(isAlive);
}

/** Comes once so many answers were asked for, a process has ended, or nobody asks any more. */
async function untilAsked(source: EndlessSource, watches: readonly ProcessWatch[]): Promise<void> {
  for (let waitedMs = 0; waitedMs < LIMIT_MS; waitedMs += POLL_MS) {
    if (source.answers >= ANSWERS || !allAlive(watches)) return;
    await fleet.day.ground.clock.sleep(POLL_MS);
  }
}

function expectAllWithinLimits(watches: readonly ProcessWatch[]): void {
  for (const watch of watches) {
    watch.look();
    watch.stop();
    expectWithinLimits(watch, fleet.limits);
  }
}

/** Guards against issue 65 where the platform's list has no end. */
async function endlessList(): Promise<void> {
  await fleet.day.list.close();
  const watches = watchAll();
  const list = await open(
    new EndlessSource(fleet.site.list.at, jsonHeaders, '{"instances":[],"nextPageToken":"'),
  );
  await untilAsked(list, watches);
  expect(list.answers).toBeGreaterThan(0);
  expectAllWithinLimits(watches);
  expect(await fleet.callerRequest(0)()).toBe(true);
}

/** Where reports, events and lists of an engine have no end. */
async function endlessReports(): Promise<void> {
  const { at } = fleet.site.engines[0];
  await fleet.day.engines.get(at)!.end('reset');
  const watches = watchAll();
  const source = await open(new EndlessSource(at, jsonHeaders, '{"epoch":1,"held":[["'));
  await untilAsked(source, watches);
  expect(source.answers).toBeGreaterThan(0);
  expectAllWithinLimits(watches);
  expect(await fleet.callerRequest(0)()).toBe(true);
}

/** Where an event of a stream that may be resumed has no end. */
async function endlessEvent(): Promise<void> {
  const { service, ports, edges } = fleet.site;
  for (const { at, service: of } of fleet.site.engines) {
    if (of !== service) continue;
    await fleet.day.engines.get(at)!.end('reset');
    await open(new EndlessSource(at, streamHeaders, 'id: 1\ndata: '));
  }
  const watches = watchAll();
  const request = http.request({
    host: edges[0].ip,
    port: ports.frontend,
    method: 'POST',
    path: '/roster-check/x',
    agent: false,
    headers: {
      host: 'desk.example',
      authorization: 'Token key-1-a',
      'plumhollow-attempt-id': 'endless',
      'plumhollow-model': fleet.site.model,
      'plumhollow-token-count': '10,10',
    },
  });
  function ended(resolve: () => void): void {
    function onResponse(response: http.IncomingMessage): void {
      response.resume();
      response.on('close', resolve);
      response.on('error', ignore);
    }
    request.on('response', onResponse);
    request.on('error', resolve);
  }
  const end = new Promise<void>(ended);
  request.end();
  await end;
  expectAllWithinLimits(watches);
  expect(await fleet.callerRequest(0)()).toBe(true);
}

beforeEach(start);
afterEach(stop);

test('processes bear a list of engines without an end', endlessList);
test('processes bear reports, events and lists of an engine without an end', endlessReports);
test('a router bears an event of a stream without an end', endlessEvent);
