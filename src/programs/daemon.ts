/**
 * What all daemons share: settings, ports, start, and an orderly end.
 */

import { Either, Left } from 'purify-ts';
import { usersPlatform } from '../../platform/adapter';
import { describeError, errorOrValue, Result } from '../shared/errors/errors';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { Logger } from '../shared/ports/logger';
import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { logPressure } from '../shared/limits/pressure-log';
import { makeFileDisk } from '../shared/system/file-disk';
import { makeLogger } from '../shared/system/logger';
import { makeRawHttpNetwork } from '../shared/system/raw-http';
import { makeServerResources } from '../shared/system/server-resources';
import { makeSystemClock } from '../shared/system/system-clock';
import { makeSystemNetwork } from '../shared/system/tcp-network';
import { makeSystemRandom } from '../shared/system/system-random';
import { readTextFile } from '../shared/util/text-file';
import { EXIT_FAILED, EXIT_USAGE } from './exit-codes';
import { RunningService } from './running-service';
import { makeShutdown } from './shutdown';

/** The version that all programs tell. */
export const VERSION = '0.1.0';

/** Starts a program's service; without an adapter it speaks our own protocols. */
export type StartService = (
  ports: Ports,
  settings: Settings,
  adapter: PlatformAdapter | undefined,
) => Promise<Result<RunningService>>;

/** A daemon: what it is called, and what it needs. */
export interface DaemonOptions {
  program: string;
  /** One sentence for `--help`. */
  description: string;
  /** The settings that must be given. */
  requiredSettings: string[];
  start: StartService;
}

/** Runs a daemon until it is told to end. Its settings come from the file that the platform names in `PLUMHOLLOW_SETTINGS`, or from flags and a file of our own. */
export async function runDaemon(options: DaemonOptions): Promise<void> {
  const { program } = options;
  const platformFile = process.env.PLUMHOLLOW_SETTINGS;
  const read = await readDaemonSettings(options, platformFile);
  if (read.isLeft()) {
    for (const violation of read.extract()) process.stderr.write(`${program}: ${violation}\n`);
    process.exit(EXIT_USAGE);
  }
  const settings = read.extract() as Settings;
  if (platformFile) void keepSeedsCurrent(settings, platformFile);
  await runService(options, settings);
}

async function readDaemonSettings(
  { program, description, requiredSettings }: DaemonOptions,
  platformFile: string | undefined,
): Promise<Either<string[], Settings>> {
  if (platformFile) return readPlatformSettings(platformFile);
  // The platform's processes have no flags, and do not load the library that reads them.
  const { readFlags } = await import('./flags');
  return readFlags(program, description, VERSION, requiredSettings);
}

function readPlatformSettings(file: string): Either<string[], Settings> {
  const [error, text] = errorOrValue(readTextFile('read settings', file));
  return error ? Left([describeError(error)]) : usersPlatform.settings(text);
}

/** Takes over the seeds that the platform's file names; it may change with a SIGHUP or without one. */
async function keepSeedsCurrent(settings: Settings, file: string): Promise<never> {
  const clock = makeSystemClock(settings.suspends);
  function reread(): void {
    const current = readPlatformSettings(file);
    if (current.isLeft()) return;
    const { seeds } = current.extract() as Settings;
    settings.seeds.splice(0, settings.seeds.length, ...seeds);
  }
  process.on('SIGHUP', reread);
  for (;;) {
    await clock.sleep(settings.contactMs);
    reread();
  }
}

function makeSystemPorts(settings: Settings, logger: Logger): Ports {
  const clock = makeSystemClock(settings.suspends);
  const resources = makeServerResources(settings, clock);
  const { account } = resources;
  logPressure(account, clock, logger, settings.contactMs);
  return {
    clock,
    random: makeSystemRandom(),
    disk: makeFileDisk(settings.data),
    network: makeSystemNetwork(timeLimitsOf(settings).connectTimeoutMs, settings.bind, resources),
    logger,
    memoryFigures: account.figures.bind(account),
    rawHttp: makeRawHttpNetwork(settings.bind, resources),
  };
}

async function runService(options: DaemonOptions, settings: Settings): Promise<void> {
  const { program, start } = options;
  const logger = makeLogger(program, settings.name);
  const ports = makeSystemPorts(settings, logger);
  const adapter = settings.dialect === 'platform' ? usersPlatform : undefined;
  const started = await start(ports, settings, adapter);
  if (started.isLeft()) {
    const { step, peer, reason } = started.extract();
    logger.error({ event: 'daemon.start-failed', step, peer }, reason);
    process.stderr.write(`${program}: ${describeError(started.extract())}\n`);
    process.exit(EXIT_FAILED);
  }
  const shutdown = makeShutdown(started.extract() as RunningService, process.exit.bind(process));
  function crash(error: unknown): void {
    const text = String((error as Error | undefined)?.stack ?? error);
    logger.error({ event: 'daemon.crashed', peer: settings.name }, text);
    process.exit(EXIT_FAILED);
  }
  process.on('SIGTERM', shutdown);
  process.on('SIGINT', shutdown);
  process.on('uncaughtException', crash);
  process.on('unhandledRejection', crash);
  process.stdout.write(`${program} ${settings.name} is up\n`);
}
