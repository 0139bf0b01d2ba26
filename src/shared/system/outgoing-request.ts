/**
 * Outgoing requests of Node's HTTP client: what became of each is told once, whatever its server sends, and at once where
 * this side gives it up.
 */

import http from 'node:http';
import net from 'node:net';

/** The lowest status of a final response (RFC 9110, section 15). */
const MIN_FINAL_STATUS = 200;

/** What becomes of a request: one of the two is called, once. */
export interface OutgoingRequestEvents {
  /** The head of the final response came. */
  onResponse: (response: http.IncomingMessage) => void;
  /** No final response comes. */
  onFailure: (error: Error) => void;
}

/** A request that is sent. */
export class OutgoingRequest {
  private isSettled = false;

  constructor(
    private readonly request: http.ClientRequest,
    private readonly events: OutgoingRequestEvents,
  ) {
    request.on('response', this.onResponse.bind(this));
    request.on('upgrade', this.onUpgrade.bind(this));
    request.on('error', this.fail.bind(this));
    request.on('close', this.onClose.bind(this));
  }

  /** Ends the request, whether its connection is up, still awaited, or closed already. */
  giveUp(error: Error): void {
    this.request.destroy(error);
    this.fail(error);
  }

  private onResponse(response: http.IncomingMessage): void {
    const status = response.statusCode ?? 0;
    if (status < MIN_FINAL_STATUS) return this.giveUp(new Error(`status ${status} is not final`));
    if (this.isSettled) return;
    this.isSettled = true;
    this.events.onResponse(response);
  }

  /** A change of protocols that was not asked for. */
  private onUpgrade(_: http.IncomingMessage, socket: net.Socket): void {
    socket.destroy();
    this.fail(new Error('the server changed the protocol'));
  }

  private onClose(): void {
    this.fail(new Error('closed without a response'));
  }

  private fail(error: Error): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.events.onFailure(error);
  }
}
