/** A small fleet of real processes for crowds: three controllers and indexers, one router, and stand-ins for all else. */

import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { ChildProcess } from 'node:child_process';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeMachines, Machines } from '../../tools/fleet/machines';
import { ProcessWatch } from '../../tools/fleet/process-watch';
import { seededDice } from '../../tools/sim/dice';
import { CrowdAnswer, CrowdTarget } from '../../tools/standins/crowd/client';
import { Crowd } from '../../tools/standins/crowd/crowd';
import { CrowdFormName } from '../../tools/standins/crowd/forms';
import { Day, startDay } from '../../tools/standins/platform/day';
import { Entry } from '../../tools/standins/platform/entry';
import { splitAt } from '../../tools/standins/platform/serve';
import { makeSite, PROCESS_LIMITS, ProcessLimits, Site } from '../../tools/standins/platform/site';

const SIZE = { edges: 1, engines: 3, scale: 1 };
const SEED = 65;
const START_MS = 30000;
const POLL_MS = 50;
/** How long one ordinary request is waited for before it is sent again, on a new connection. */
const GIVE_UP_MS = 20000;
/** The time of the routes, so that nothing but the limits of bodies bounds one that is slow. */
const ROUTE_MS = 60000;
const BYTES_PER_MB = 1e6;
const DEPLOY_FILE = resolve(__dirname, '../../../deploy/system.toml');
/** The answers that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

/** The process that a crowd comes to. */
export type CrowdedRole = 'router' | 'controller' | 'indexer';

/** An ordinary request: whether it was answered as it should be. */
export type OrdinaryRequest = () => Promise<boolean>;

/** Sends a request on a connection of its own; the status, or 0 where there was no answer. */
export function sendOnce(
  at: string,
  method: string,
  path: string,
  headers: http.OutgoingHttpHeaders,
  body: string | Buffer = '',
): Promise<number> {
  function run(resolveStatus: (status: number) => void): void {
    function onResponse(response: http.IncomingMessage): void {
      function onEnd(): void {
        resolveStatus(response.complete ? (response.statusCode ?? 0) : 0);
      }
      response.on('close', onEnd);
      response.resume();
    }
    function onFailure(): void {
      request.destroy();
      resolveStatus(0);
    }
    const options = { ...splitAt(at), method, path, headers, agent: false, timeout: GIVE_UP_MS };
    const request = http.request(options, onResponse);
    request.on('timeout', onFailure);
    request.on('error', onFailure);
    request.end(body);
  }
  return new Promise(run);
}

/** Flags of the deploy file in proportion to the memory that a process may use here. */
function nodeFlags(memoryMb: number): string[] {
  const run = /run = "node ([^"]*) target\/router\.js"/.exec(readFileSync(DEPLOY_FILE, 'utf8'))![1];
  function inProportion(flag: string): string {
    const [name, mb] = flag.split('=');
    return `${name}=${Math.floor((Number(mb) * memoryMb) / PROCESS_LIMITS.memoryMb)}`;
  }
  return run.split(' ').map(inProportion);
}

function keepAsIs(): void {
  // the site stays as it is
}

/** A fleet that crowds come to. */
export class CrowdFleet {
  private requests = 0;

  private constructor(
    readonly site: Site,
    readonly limits: ProcessLimits,
    readonly day: Day,
    readonly machines: Machines,
    private readonly entry: Entry,
    private readonly folder: string,
  ) {}

  /** Starts it; comes once its router is ready. `alter` changes the site before that. */
  static async start(
    limits: ProcessLimits,
    alter: (site: Site) => void = keepAsIs,
  ): Promise<CrowdFleet> {
    const clock = makeSystemClock();
    const folder = mkdtempSync(join(tmpdir(), 'plumhollow-crowd-'));
    const site = makeSite('sbr', SIZE, 2 + (process.pid % 250), folder)!;
    site.limits = limits;
    site.nodeFlags = nodeFlags(limits.memoryMb);
    for (const route of site.config.routes) route.timeoutMs = ROUTE_MS;
    alter(site);
    const day = await startDay(site, clock, seededDice(SEED));
    const machines = makeMachines(site, clock, day.book, folder);
    await machines.startAll();
    const entry = day.openEntry();
    const fleet = new CrowdFleet(site, limits, day, machines, entry, folder);
    await day.operator.replace(day.config, 0, START_MS);
    for (let waitedMs = 0; waitedMs < START_MS && !entry.allReady(); waitedMs += POLL_MS)
      await clock.sleep(POLL_MS);
    return fleet;
  }

  get maxBodyBytes(): number {
    return this.site.config.limits.maxBodyBytes;
  }

  /** Where a role's process listens for strangers, or for our own processes. */
  address(role: CrowdedRole, listener: 'frontend' | 'readiness' | 'control' | 'internal'): string {
    const { ip } = role === 'router' ? this.site.edges[0] : this.site.cores[0];
    const { ports } = this.site;
    if (listener !== 'internal') return `${ip}:${ports[listener]}`;
    return `${ip}:${ports.internal[role === 'indexer' ? 1 : 0]}`;
  }

  /** Requests of a public route of the router. */
  routerTarget(): CrowdTarget {
    return {
      at: this.address('router', 'frontend'),
      method: 'POST',
      path: '/desk/look/x',
      headers: ['Host: desk.example'],
      maxBodyBytes: this.maxBodyBytes,
    };
  }

  /** Changes of the configuration at a controller. */
  controllerTarget(): CrowdTarget {
    return {
      at: this.address('controller', 'control'),
      method: 'POST',
      path: '/api/Configuration.Replace',
      headers: ['Host: control.example', 'Plumhollow-Base-Version: 0'],
      maxBodyBytes: this.maxBodyBytes,
    };
  }

  /** An ordinary caller's request with a body of so many bytes. */
  callerRequest(bodyBytes: number): OrdinaryRequest {
    return this.askRouter.bind(this, Buffer.alloc(bodyBytes, 'o'));
  }

  /** An operator's ordinary calls: the configuration is read, and the same one sent again. */
  operatorCalls(): OrdinaryRequest {
    return this.askController.bind(this);
  }

  /** Sends an ordinary request until it is answered, each time on a new connection; false once the process has ended. */
  async isAnswered(request: OrdinaryRequest, watch: ProcessWatch): Promise<boolean> {
    while (watch.isAlive()) {
      if (await request()) return true;
      await this.day.ground.clock.sleep(POLL_MS);
    }
    return false;
  }

  /** The process of a role that crowds come to, watched from now on. */
  watch(role: CrowdedRole): ProcessWatch {
    return new ProcessWatch(this.processOf(role), this.limits.memoryMb);
  }

  /** The names of the machine and the program of a role's process. */
  processName(role: CrowdedRole): string {
    const { name } = role === 'router' ? this.site.edges[0] : this.site.cores[0];
    return `${name} ${role}`;
  }

  /** Refused requests that an engine ran all the same. */
  refusedButRun(answers: readonly CrowdAnswer[]): CrowdAnswer[] {
    const run = new Set<string>();
    for (const { id } of this.day.book.arrivals) run.add(id);
    function isBroken({ id, status }: CrowdAnswer): boolean {
      return status !== undefined && PROMISES.has(status) && run.has(id);
    }
    return answers.filter(isBroken);
  }

  async stop(): Promise<void> {
    this.entry.stop();
    await this.machines.stopAll();
    await this.day.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** The process of a role that crowds come to. */
  processOf(role: CrowdedRole): ChildProcess {
    return this.machines.procs.get(this.processName(role))!.child!;
  }

  private async askRouter(body: Buffer): Promise<boolean> {
    const { at, method, path } = this.routerTarget();
    const id = `ordinary-${this.requests++}`;
    const headers = { host: 'desk.example', 'plumhollow-attempt-id': id };
    return (await sendOnce(at, method, path, headers, body)) === 200;
  }

  private async askController(): Promise<boolean> {
    const at = this.address('controller', 'control');
    const read = await sendOnce(at, 'GET', '/api/Configuration.Describe', {});
    const body = JSON.stringify(this.day.config);
    const headers = { 'plumhollow-base-version': '0' };
    const sent = await sendOnce(at, 'POST', '/api/Configuration.Replace', headers, body);
    return read === 200 && sent === 200;
  }
}

/** A crowd that is played, and the bounds that its process must stay within. */
export interface PlayedCrowd {
  form: CrowdFormName;
  clients: number;
  role: CrowdedRole;
  target: CrowdTarget;
  /** What ordinary callers or operators ask meanwhile and afterwards. */
  ordinary: OrdinaryRequest[];
}

async function areAnswered(
  fleet: CrowdFleet,
  requests: readonly OrdinaryRequest[],
  watch: ProcessWatch,
): Promise<boolean> {
  for (const request of requests) if (!(await fleet.isAnswered(request, watch))) return false;
  return true;
}

/** Whether ordinary requests are answered while a crowd is there; it has left afterwards. */
async function askBeside(
  fleet: CrowdFleet,
  crowd: Crowd,
  requests: readonly OrdinaryRequest[],
  watch: ProcessWatch,
): Promise<boolean> {
  try {
    await crowd.inPlace();
    return await areAnswered(fleet, requests, watch);
  } finally {
    crowd.close();
  }
}

/**
 * Plays a crowd: its process lives, within its memory and descriptors; ordinary requests are answered while the crowd is
 * there and after it has left; and nobody's request has run who was told that it had not.
 */
export async function playCrowd(
  fleet: CrowdFleet,
  { form, clients, role, target, ordinary }: PlayedCrowd,
): Promise<void> {
  const watch = fleet.watch(role);
  const crowd = new Crowd(form, target, clients);
  const beside = await askBeside(fleet, crowd, ordinary, watch);
  const answers = crowd.answers();
  const seen = { beside, after: await areAnswered(fleet, ordinary, watch) };
  watch.look();
  watch.stop();
  const isAlive = watch.isAlive();
  expect({ isAlive, ...seen }).toEqual({ isAlive: true, beside: true, after: true });
  expectWithinLimits(watch, fleet.limits);
  expect(fleet.refusedButRun(answers)).toEqual([]);
}

/** A process lives, and stayed within the memory and the descriptors that its settings give it. */
export function expectWithinLimits(watch: ProcessWatch, limits: ProcessLimits): void {
  const { memoryBytes, descriptors } = watch.peaks;
  expect(watch.isAlive()).toBe(true);
  expect(memoryBytes).toBeLessThanOrEqual(limits.memoryMb * BYTES_PER_MB);
  expect(descriptors).toBeLessThanOrEqual(limits.maxOpenFiles);
}
