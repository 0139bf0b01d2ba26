import { readFileSync } from 'node:fs';
import { Either, Left } from 'purify-ts';
import { usersPlatform } from '../../platform/adapter';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { OperationError, errorOrValue, describeError } from '../shared/errors/errors';
import { tryCatch } from '../shared/util/try-catch';
import { Ports } from '../shared/ports/ports';
import { makeSystemClock } from '../shared/system/system-clock';
import { makeSystemRandom } from '../shared/system/system-random';
import { makeFileDisk } from '../shared/system/file-disk';
import { makeLogger } from '../shared/system/logger';
import { makeRawHttpNetwork } from '../shared/system/raw-http';
import { makeSystemNetwork } from '../shared/system/tcp-network';
import { Settings } from '../shared/settings/settings';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { RunningService } from './running-service';
import { makeShutdown } from './shutdown';

/** The version that all programs tell. */
export const VERSION = '0.1.0';

/** Starts a program's library; without a dialect it speaks our own manner. */
export type StartService = (
  ports: Ports,
  s: Settings,
  dialect: PlatformAdapter | undefined,
) => Promise<Either<OperationError, RunningService>>;

/** Reads a settings file that is worded in a dialect. */
function readPlatformSettings(dialect: PlatformAdapter, file: string): Either<string[], Settings> {
  const [f, text] = errorOrValue(tryCatch('read settings', file, read));
  function read(): string {
    return readFileSync(file, 'utf8');
  }
  return f ? Left([describeError(f)]) : dialect.settings(text);
}

/** Runs a daemon: settings, ports, start, drain at SIGTERM or SIGINT. The platform names its settings file in a variable; otherwise flags and a file of our own are read. */
export async function runDaemon(
  program: string,
  doc: string,
  need: string[],
  start: StartService,
): Promise<void> {
  const file = process.env.PLUMHOLLOW_SETTINGS;
  const read = file
    ? readPlatformSettings(usersPlatform, file)
    : (await import('./flags')).readFlags(program, doc, VERSION, need);
  if (read.isLeft()) {
    for (const f of read.extract()) process.stderr.write(`${program}: ${f}\n`);
    process.exit(2);
  }
  const s = read.extract() as Settings;
  if (file) void keepSeedsCurrent(s, file);
  await runService(program, s, start, s.dialect === 'platform' ? usersPlatform : undefined);
}

/** Takes over the seeds that the file names now; it may change with a signal or without one. */
async function keepSeedsCurrent(s: Settings, file: string): Promise<never> {
  const clock = makeSystemClock(s.suspends);
  function again(): void {
    const now = readPlatformSettings(usersPlatform, file);
    if (now.isRight()) s.seeds.splice(0, s.seeds.length, ...now.extract().seeds);
  }
  process.on('SIGHUP', again);
  for (;;) {
    await clock.sleep(s.contactMs);
    again();
  }
}

async function runService(
  program: string,
  s: Settings,
  start: StartService,
  dialect: PlatformAdapter | undefined,
): Promise<void> {
  const log = makeLogger(program, s.name);
  const ports: Ports = {
    clock: makeSystemClock(s.suspends),
    random: makeSystemRandom(),
    disk: makeFileDisk(s.data),
    network: makeSystemNetwork(timeLimitsOf(s).connectTimeoutMs, s.bind),
    logger: log,
    rawHttp: makeRawHttpNetwork(s.bind),
  };
  const o = await start(ports, s, dialect);
  if (o.isLeft()) {
    const f = o.extract();
    log.error({ step: f.step, peer: f.peer }, f.reason);
    process.stderr.write(`${program}: ${describeError(f)}\n`);
    process.exit(1);
  }
  const shutdown = makeShutdown(o.extract() as RunningService, process.exit);
  function broke(e: unknown): void {
    log.error({ step: 'run', peer: s.name }, String((e as Error)?.stack ?? e));
    process.exit(1);
  }
  process.on('SIGTERM', shutdown);
  process.on('SIGINT', shutdown);
  process.on('uncaughtException', broke);
  process.on('unhandledRejection', broke);
  process.stdout.write(`${program} ${s.name} is up\n`);
}
