/**
 * The HTTP interface for applications that add to tallies and read them, in a platform's dialect.
 */

import { Either } from 'purify-ts';
import { errorOrValue, OperationError } from '../../shared/errors/errors';
import { PlatformAdapter, TallyCall } from '../../shared/platform-adapter/platform-adapter';
import { IncomingRequest } from '../../shared/ports/network';
import { sendError, sendJson } from '../../shared/transport/http-handlers';
import { Controller } from '../controller-interface';
import { Tallies } from '../tallies/tallies';
import { readChangeBody } from './change-body';
import { replyTimeoutMs } from './reply-timeout';

/** The HTTP methods of the calls. */
const METHODS: Record<TallyCall['kind'], string> = { add: 'POST', read: 'GET' };

/** Bytes of the body of an addition. */
const MAX_BODY_BYTES = 16 * 1024;

/** Handles calls about tallies. */
export class TalliesApi {
  constructor(
    private readonly controller: Controller,
    private readonly tallies: Tallies,
    private readonly dialect: PlatformAdapter,
  ) {}

  /** Handles a call whose path was read as one about a tally. */
  async handle(call: IncomingRequest, tallyCall: Either<string, TallyCall>): Promise<void> {
    if (tallyCall.isLeft())
      return sendError(call, 400, 'refused', 'bad-shape', String(tallyCall.extract()));
    const { kind, tally } = tallyCall.unsafeCoerce();
    if (call.method !== METHODS[kind])
      return sendError(call, 405, 'refused', 'bad-method', call.method);
    return kind === 'add' ? this.add(call, tally) : this.read(call, tally);
  }

  private async add(call: IncomingRequest, tally: string): Promise<void> {
    const body = await readChangeBody(call, MAX_BODY_BYTES);
    if (body === undefined) return;
    const addition = this.dialect.operators.tallyAddition(body);
    if (addition.isLeft())
      return sendError(call, 400, 'refused', 'bad-shape', String(addition.extract()));
    const { id, amount } = addition.unsafeCoerce();
    const { settings } = this.controller;
    const added = await this.tallies.add(tally, id, amount, replyTimeoutMs(settings));
    const [error] = errorOrValue(added);
    if (error) return this.sendTallyError(call, error);
    sendJson(call, 200, {});
  }

  private async read(call: IncomingRequest, tally: string): Promise<void> {
    const [error, total] = errorOrValue(await this.tallies.total(tally));
    if (error) return this.sendTallyError(call, error);
    sendJson(call, 200, this.dialect.operators.tallyTotal(total));
  }

  /** Sends an error: 503, which promises that nothing was done, or 504 where the addition may count. */
  private sendTallyError(call: IncomingRequest, error: OperationError): void {
    const { code, certainty, step, peer, reason } = error;
    const status = certainty === 'refused' ? 503 : 504;
    const { retryPauseMs } = this.controller.timeLimits;
    const message = `${step} at ${peer}: ${reason}`;
    sendError(call, status, certainty, code ?? 'unknown', message, retryPauseMs);
  }
}
