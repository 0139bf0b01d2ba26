import { InFlightRequests } from '../../src/data/gateway/in-flight-requests';
import { OverdueRequestLog } from '../../src/data/gateway/overdue-requests';
import { Clock } from '../../src/shared/ports/clock';
import { Logger } from '../../src/shared/ports/logger';
import { defaultSettings } from '../../src/shared/settings/settings';

const DEADLINE_MS = 3000;

interface LoggedLine {
  event: string;
  awaits: string;
  unlogged: number;
}

/** The requests of a router at a time that is moved by hand, and the lines that it logs. */
class OverdueRig {
  readonly lines: LoggedLine[] = [];
  readonly inFlight: InFlightRequests;
  readonly log: OverdueRequestLog;
  private timeMs = 0;

  constructor() {
    const clock = { now: this.now.bind(this) } as unknown as Clock;
    const logger = { notice: this.note.bind(this) } as unknown as Logger;
    const settings = { ...defaultSettings(), transitMs: 100 };
    this.inFlight = new InFlightRequests(clock, logger, settings);
    this.log = new OverdueRequestLog(clock, logger, settings, this.inFlight);
  }

  updateAt(timeMs: number): void {
    this.timeMs = timeMs;
    this.log.update();
  }

  private now(): number {
    return this.timeMs;
  }

  private note(fields: object): void {
    this.lines.push(fields as LoggedLine);
  }
}

function nothing(): void {
  // does nothing on purpose
}

/** Requests that were never answered stood nowhere in a router's log. */
function namesWhomTheyAwait(): void {
  const rig = new OverdueRig();
  const [one, other, answered] = [rig.inFlight.add(), rig.inFlight.add(), rig.inFlight.add()];
  for (const request of [one, other, answered]) request.deadlineAt = DEADLINE_MS;
  one.abandonAttempt = nothing;
  rig.inFlight.remove(answered);
  rig.updateAt(DEADLINE_MS + 150);
  expect(rig.lines).toEqual([]);
  rig.updateAt(DEADLINE_MS + 250);
  rig.updateAt(DEADLINE_MS + 500);
  expect(rig.lines).toMatchObject([
    { event: 'request.overdue', awaits: 'engine' },
    { event: 'request.overdue', awaits: 'caller' },
  ]);
}

function boundsItsLines(): void {
  const rig = new OverdueRig();
  for (let i = 0; i < 50; i++) rig.inFlight.add().deadlineAt = DEADLINE_MS;
  rig.updateAt(DEADLINE_MS * 2);
  expect(rig.lines.length).toBe(20);
  expect(rig.lines[19].unlogged).toBe(30);
}

test('a request that outlasts its time is logged once, with whom it waits for', namesWhomTheyAwait);
test('many overdue requests give few lines', boundsItsLines);
