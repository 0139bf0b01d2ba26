/**
 * Discovery of the controllers by asking the seeds.
 */

import { Backoff } from '../concurrency/backoff';
import { errorOrValue, Result } from '../errors/errors';
import { Ports } from '../ports/ports';
import { TimeLimits } from '../settings/time-limits';
import { VersionedValue } from '../state/versions';
import { VoterSet } from '../state/voter-set';
import { Hello } from '../transport/hello';
import { requestOnce } from '../transport/peer-channel';

/** A seed's reply to the question where the controllers are. */
export interface CoreLocation {
  voters?: VoterSet;
  /** The committed voter set, from a controller. */
  stands?: VersionedValue;
}

/** What discovery works with. */
export interface CoreDiscoveryDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  hello: Hello;
  handlers: readonly object[];
  seeds: readonly string[];
  /** Whether the addresses of controllers are known. */
  isKnown: () => boolean;
  /** Whether a controller is connected. */
  isConnected: () => boolean;
  isStopped: () => boolean;
  onFound: (location: CoreLocation) => void;
}

/** Asks the seeds for the controllers: until they are known, and again where all connections stay lost. */
export class CoreDiscovery {
  /** Seeds whose reply is awaited by the first search. */
  private readonly pendingSeeds = new Set<string>();

  constructor(private readonly dependencies: CoreDiscoveryDependencies) {}

  /** Asks all seeds side by side until the controllers are known, at first soon again: after a loss of power they start one by one. */
  async findCore(): Promise<void> {
    const { ports, timeLimits, seeds, isKnown, isStopped } = this.dependencies;
    const backoff = new Backoff(ports, timeLimits.retryPauseMs);
    while (!isStopped() && !isKnown()) {
      for (const seed of seeds) if (!this.pendingSeeds.has(seed)) void this.askPendingSeed(seed);
      await backoff.wait();
    }
  }

  /** Asks the seeds again where no controller was connected for the idle timeout: all that were known may have been replaced. */
  async findLostCore(): Promise<void> {
    const { ports, timeLimits, seeds, isKnown, isConnected, isStopped } = this.dependencies;
    const { clock } = ports;
    let connectedAt = clock.now();
    while (!isStopped()) {
      await clock.sleep(timeLimits.leaseMs);
      if (!isKnown() || isConnected()) connectedAt = clock.now();
      else if (clock.now() - connectedAt > timeLimits.idleChannelTimeoutMs)
        await Promise.all(seeds.map(this.askSeed.bind(this)));
    }
  }

  private async askPendingSeed(seed: string): Promise<void> {
    this.pendingSeeds.add(seed);
    await this.askSeed(seed);
    this.pendingSeeds.delete(seed);
  }

  private async askSeed(seed: string): Promise<void> {
    const [error, location] = errorOrValue(await this.requestLocation(seed));
    if (!error) this.dependencies.onFound(location);
  }

  private requestLocation(seed: string): Promise<Result<CoreLocation>> {
    const { ports, hello, handlers, timeLimits } = this.dependencies;
    const timeoutMs = timeLimits.connectTimeoutMs;
    const reply = requestOnce(ports, hello, handlers, seed, 'who', {}, timeoutMs);
    return reply as Promise<Result<CoreLocation>>;
  }
}
