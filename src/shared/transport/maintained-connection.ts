/**
 * A connection that is kept up to one peer: connected anew with backoff, and checked by heartbeats.
 */

import { Backoff } from '../concurrency/backoff';
import { jittered } from '../concurrency/jitter';
import { errorOrValue, OperationError } from '../errors/errors';
import { Connection } from '../ports/network';
import { Ports } from '../ports/ports';
import { Hello } from './hello';
import { openChannel, PeerChannel } from './peer-channel';

/** A peer that was silent for this ratio of the retry pause, on average, is sent a heartbeat. */
const HEARTBEAT_SILENCE_RATIO = 2;
/** How long a heartbeat's reply may take, as a ratio of the connect timeout. */
const HEARTBEAT_TIMEOUT_RATIO = 1.25;

/** A connection that is kept up to one peer. */
export interface MaintainedConnection {
  /** The peer's address (`ip:port`). */
  address: string;
  /** The channel while the connection is up and the handshake is done. */
  channel: () => PeerChannel | undefined;
  /** Closes the connection and connects no more. */
  stop: () => void;
}

/** How a connection is kept up. */
export interface ConnectionOptions {
  /** Our own handshake message. */
  hello: Hello;
  /** Handlers of what the peer sends. */
  handlers: readonly object[];
  /** How long connecting and the handshake may take. */
  timeoutMs: number;
  /** The pause that backoff and heartbeats are ratios of. */
  retryPauseMs: number;
  /** Called when the handshake is done. */
  onUp?: (channel: PeerChannel) => void;
  /** Called when a connection that was up has ended. */
  onDown?: (channel: PeerChannel) => void;
  /** Called when the peer could not be connected to. */
  onConnectFailed?: (error: OperationError) => void;
}

class ReconnectingConnection implements MaintainedConnection {
  private current: PeerChannel | undefined;
  private isStopped = false;

  constructor(
    private readonly ports: Ports,
    readonly address: string,
    private readonly options: ConnectionOptions,
  ) {}

  channel(): PeerChannel | undefined {
    return this.current;
  }

  stop(): void {
    this.isStopped = true;
    this.current?.close();
  }

  /** Connects again and again until it is stopped. */
  async run(): Promise<void> {
    const { ports, options } = this;
    const backoff = new Backoff(ports, options.retryPauseMs);
    while (!this.isStopped) {
      const [error, connection] = errorOrValue(
        await ports.network.connect(this.address, options.timeoutMs),
      );
      if (error) {
        options.onConnectFailed?.(error);
      } else if (this.isStopped) {
        connection.close();
      } else {
        const connectedAt = ports.clock.now();
        await this.use(connection);
        if (ports.clock.now() - connectedAt > options.retryPauseMs) backoff.reset();
      }
      if (!this.isStopped) await backoff.wait();
    }
  }

  /** Does the handshake on a connection, and resolves when it has ended. */
  private async use(connection: Connection): Promise<void> {
    const { ports, options } = this;
    const channel = openChannel(ports, connection, options.handlers);
    channel.peer = this.address;
    const [error, hello] = errorOrValue(
      await channel.request('hello', options.hello, options.timeoutMs),
    );
    if (error) {
      ports.logger.warn({ step: error.step, peer: this.address }, error.reason);
      channel.close();
      return;
    }
    channel.hello = hello as Hello;
    this.current = channel;
    options.onUp?.(channel);
    void this.sendHeartbeats(channel);
    await channel.closed;
    this.current = undefined;
    options.onDown?.(channel);
  }

  /** Sends heartbeats to a peer that is silent; where one is not answered the connection is closed, whatever TCP says of it. */
  private async sendHeartbeats(channel: PeerChannel): Promise<void> {
    const { clock } = this.ports;
    const timeoutMs = this.options.timeoutMs * HEARTBEAT_TIMEOUT_RATIO;
    while (!this.isStopped && this.current === channel) {
      const dueInMs = channel.lastReceivedAt() + this.drawSilenceMs() - clock.now();
      if (dueInMs > 0) {
        await clock.sleep(dueInMs);
        continue;
      }
      const [error] = errorOrValue(await channel.request('ping', {}, timeoutMs));
      if (error) channel.close();
    }
  }

  /** How long the peer may be silent until the next heartbeat. */
  private drawSilenceMs(): number {
    return jittered(this.ports.random, this.options.retryPauseMs * HEARTBEAT_SILENCE_RATIO);
  }
}

/** Keeps a connection up to a peer until it is stopped. */
export function maintainConnection(
  ports: Ports,
  address: string,
  options: ConnectionOptions,
): MaintainedConnection {
  const connection = new ReconnectingConnection(ports, address, options);
  void connection.run();
  return connection;
}
