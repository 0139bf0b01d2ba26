/**
 * A crowd: clients of one form at once, which stay until they are closed.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import { CrowdAnswer, CrowdClient, CrowdTarget } from './client';
import { CROWD_FORMS, CrowdFormName } from './forms';

/** How often it is looked whether a crowd still gets anywhere. */
const LOOK_MS = 100;
/** Looks without a byte taken from any client after which a crowd is in place. */
const QUIET_LOOKS = 15;
/** Looks after which a crowd that goes on is in place all the same. */
const MAX_LOOKS = 250;

/** Clients of one form. */
export class Crowd {
  private readonly clients: CrowdClient[] = [];
  private running = 0;

  /** Connects so many clients, and has each do what its form does. */
  constructor(form: CrowdFormName, target: CrowdTarget, count: number) {
    const { reads, run } = CROWD_FORMS[form];
    for (let index = 0; index < count; index++) {
      const client = new CrowdClient(target, `crowd-${index}`, reads);
      this.clients.push(client);
      this.running++;
      void run(client).finally(this.onDone.bind(this));
    }
  }

  /** Comes once all clients have done what they do, none gets anywhere, or they have gone on for long. */
  async inPlace(): Promise<void> {
    let sent = -1;
    let quiet = 0;
    for (let look = 0; look < MAX_LOOKS && quiet < QUIET_LOOKS && this.running > 0; look++) {
      await sleep(LOOK_MS);
      const now = this.bytesSent();
      quiet = now === sent ? quiet + 1 : 0;
      sent = now;
    }
  }

  /** What all clients asked, and what they were answered. */
  answers(): CrowdAnswer[] {
    return this.clients.flatMap(answersOf);
  }

  /** Clients whose connection has not ended. */
  connected(): number {
    return this.clients.filter(isOpen).length;
  }

  close(): void {
    for (const client of this.clients) client.close();
  }

  private onDone(): void {
    this.running--;
  }

  private bytesSent(): number {
    let bytes = 0;
    for (const client of this.clients) bytes += client.bytesSent();
    return bytes;
  }
}

function answersOf(client: CrowdClient): CrowdAnswer[] {
  return client.answers();
}

function isOpen({ isClosed }: CrowdClient): boolean {
  return !isClosed;
}
