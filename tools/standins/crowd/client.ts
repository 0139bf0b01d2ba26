/**
 * One client of a crowd: a bare connection, what was sent on it, and the answers that came.
 */

import net from 'node:net';
import { splitAt } from '../platform/serve';

/** Whom a crowd sends requests to, and what they are like. */
export interface CrowdTarget {
  at: string;
  method: string;
  path: string;
  /** Lines of the head beside the request line, the id and the framing of the body. */
  headers: readonly string[];
  /** The largest body that the target takes. */
  maxBodyBytes: number;
}

/** A request of a crowd and the status that it got, where one came. */
export interface CrowdAnswer {
  id: string;
  status: number | undefined;
}

/** What is kept of the text that a client receives: enough for the heads of its answers. */
const MAX_KEPT_TEXT = 65536;
const STATUS_LINE = /^HTTP\/1\.[01] (\d{3})/gm;

/** One connection of a crowd. */
export class CrowdClient {
  readonly closed: Promise<void>;
  isClosed = false;
  private readonly socket: net.Socket;
  private readonly ids: string[] = [];
  private text = '';

  constructor(
    readonly target: CrowdTarget,
    private readonly name: string,
    reads: boolean,
  ) {
    this.socket = net.connect(splitAt(target.at));
    this.socket.setNoDelay(true);
    this.closed = new Promise(this.resolveOnClose.bind(this));
    this.socket.on('error', ignore);
    if (reads) this.socket.on('data', this.onData.bind(this));
  }

  /** Begins a request: its head, with `framing` for the body, without the line that ends it. */
  openHead(framing: readonly string[] = []): string {
    const { method, path, headers } = this.target;
    const id = `${this.name}-${this.ids.length}`;
    this.ids.push(id);
    const lines = [`${method} ${path} HTTP/1.1`, `Plumhollow-Attempt-Id: ${id}`];
    return [...lines, ...headers, ...framing, ''].join('\r\n');
  }

  /** The complete head of a request. */
  head(framing: readonly string[]): string {
    return `${this.openHead(framing)}\r\n`;
  }

  /** Sends bytes; comes once they are handed to the system, with false where the connection has ended. */
  write(bytes: Uint8Array | string): Promise<boolean> {
    const { socket, closed } = this;
    function send(resolve: (isSent: boolean) => void): void {
      function onWritten(error?: Error | null): void {
        resolve(!error);
      }
      function onClosed(): void {
        resolve(false);
      }
      void closed.then(onClosed);
      socket.write(bytes, onWritten);
    }
    return this.isClosed ? Promise.resolve(false) : new Promise(send);
  }

  /** Bytes that the system has taken from this client. */
  bytesSent(): number {
    return this.socket.bytesWritten - this.socket.writableLength;
  }

  /** What it asked, and what it was answered; answers come in the order of the requests. */
  answers(): CrowdAnswer[] {
    const statuses = [...this.text.matchAll(STATUS_LINE)].map(statusOf);
    function answerOf(id: string, index: number): CrowdAnswer {
      return { id, status: statuses.at(index) };
    }
    return this.ids.map(answerOf);
  }

  close(): void {
    this.socket.destroy();
  }

  private onData(bytes: Buffer): void {
    if (this.text.length < MAX_KEPT_TEXT) this.text += bytes.toString('latin1');
  }

  private resolveOnClose(resolve: () => void): void {
    this.socket.once('close', this.onClose.bind(this, resolve));
  }

  private onClose(resolve: () => void): void {
    this.isClosed = true;
    resolve();
  }
}

function statusOf(match: RegExpMatchArray): number {
  return Number(match[1]);
}

function ignore(): void {
  // an error ends the connection, which `closed` tells
}
