/**
 * A failure detector for zones: whether a zone is cut off from this controller, as opposed to controllers there that are
 * down. Both end connections in the same ways, and a controller may stay away for any time; but a process that is down
 * leaves the other machines of its zone in reach. So a zone counts as cut off where nothing is heard from any of its
 * machines, several of which, that run a router and no controller, fell silent together.
 */

import { checkPeriodically } from '../../shared/concurrency/periodic-checks';
import { Ports } from '../../shared/ports/ports';
import { Hello } from '../../shared/transport/hello';
import { PeerChannel } from '../../shared/transport/peer-channel';

/** The roles of processes, as their handshakes tell them. */
const CONTROLLER_ROLE = 'controller';
const ROUTER_ROLE = 'router';
/** Checks in the time that a zone must be silent for. */
const CHECKS_PER_SILENCE = 4;
/** Machines with a router and no controller that must have fallen silent together. */
const MIN_SILENT_MACHINES = 2;

/** What the detector needs of its controller. */
export interface ZoneCutDetectorDependencies {
  ports: Ports;
  /** The zone of this controller, which is never cut off from it. */
  ownZone: string;
  /** All connections that are open, made here or accepted. */
  channels: () => Iterable<PeerChannel>;
  /** For how long a zone must be silent, in ms: longer than a process takes to start again, and several heartbeats. */
  silenceMs: number;
  /** Called when a zone is found cut off, or is heard again. */
  onChange: () => void;
  isStopped: () => boolean;
}

/** What was heard of one machine. */
interface MachineContact {
  /** In ms of the clock port. */
  heardAt: number;
  hasController: boolean;
  hasRouter: boolean;
}

/** What was heard of the machines of one zone. */
class ZoneContact {
  isCutOff = false;
  /** When a machine was heard last, in ms of the clock port. */
  heardAt = -Infinity;
  /** By host; those that fell silent long before the last one are forgotten. */
  private readonly machines = new Map<string, MachineContact>();

  /** Notes when a process was heard last. */
  note(host: string, role: string, heardAt: number): void {
    const known = this.machines.get(host);
    this.machines.set(host, {
      heardAt: Math.max(heardAt, known?.heardAt ?? -Infinity),
      hasController: role === CONTROLLER_ROLE || known?.hasController === true,
      hasRouter: role === ROUTER_ROLE || known?.hasRouter === true,
    });
    this.heardAt = Math.max(this.heardAt, heardAt);
  }

  /** Forgets the machines that were not heard within `windowMs` of the last one. */
  forgetEarlier(windowMs: number): void {
    for (const [host, { heardAt }] of this.machines)
      if (heardAt < this.heardAt - windowMs) this.machines.delete(host);
  }

  /** How many machines with a router and no controller were heard until the zone fell silent. */
  countWitnesses(): number {
    let count = 0;
    for (const { hasController, hasRouter } of this.machines.values())
      if (hasRouter && !hasController) count++;
    return count;
  }
}

/** Tells which zones are cut off from this controller. */
export class ZoneCutDetector {
  private readonly zones = new Map<string, ZoneContact>();
  /** Since when this process has run without being held up, in ms of the clock port. */
  private runningSince: number;

  constructor(private readonly dependencies: ZoneCutDetectorDependencies) {
    this.runningSince = dependencies.ports.clock.now();
  }

  /** Checks again and again until the controller is stopped. */
  run(): Promise<void> {
    const { ports, silenceMs, isStopped } = this.dependencies;
    const intervalMs = silenceMs / CHECKS_PER_SILENCE;
    return checkPeriodically(ports.clock, intervalMs, isStopped, this.check.bind(this));
  }

  /** Whether a zone is cut off, by all that was heard until now. */
  isCutOff(zone: string): boolean {
    if (!this.zones.get(zone)?.isCutOff) return false;
    this.readChannels();
    return this.zones.get(zone)!.isCutOff;
  }

  /** The zones that are cut off. */
  cutOffZones(): string[] {
    const names: string[] = [];
    for (const [zone, { isCutOff }] of this.zones) if (isCutOff) names.push(zone);
    return names.sort();
  }

  private check(now: number, wasHeldUp: boolean): void {
    if (wasHeldUp) this.runningSince = now;
    this.readChannels();
    for (const [zone, contact] of this.zones) this.checkZone(zone, contact, now);
  }

  private checkZone(zone: string, contact: ZoneContact, now: number): void {
    const { silenceMs } = this.dependencies;
    contact.forgetEarlier(silenceMs);
    const silentMs = now - Math.max(contact.heardAt, this.runningSince);
    const machines = contact.countWitnesses();
    if (contact.isCutOff || silentMs < silenceMs || machines < MIN_SILENT_MACHINES) return;
    contact.isCutOff = true;
    this.dependencies.ports.logger.warn(
      { event: 'zones.cut-off', zone, machines, silentMs: Math.round(silentMs) },
      `zone ${zone} is cut off: nothing comes from any of its machines`,
    );
    this.dependencies.onChange();
  }

  private readChannels(): void {
    const { channels, ownZone } = this.dependencies;
    for (const channel of channels())
      if (channel.hello && channel.hello.zone !== ownZone)
        this.noteHeard(channel.hello, channel.lastReceivedAt());
  }

  private noteHeard({ zone, role, at }: Hello, heardAt: number): void {
    const contact = this.zones.get(zone) ?? new ZoneContact();
    this.zones.set(zone, contact);
    const isLater = heardAt > contact.heardAt;
    contact.note(hostOf(at), role, heardAt);
    if (!contact.isCutOff || !isLater) return;
    contact.isCutOff = false;
    this.dependencies.ports.logger.notice(
      { event: 'zones.reached-again', zone, peer: at },
      `zone ${zone} is reached again`,
    );
    this.dependencies.onChange();
  }
}

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(':'));
}
