/**
 * Relays an engine's pieces to the caller in order, and checks that they are all of this request's run.
 */

import { EngineLine, GenerationStream } from '../shared/contracts/engine';
import { errorOrValue, OperationError } from '../shared/errors/errors';
import { ErrorCode } from '../shared/errors/error-codes';
import { IncomingRequest } from '../shared/ports/network';
import { tokensOf } from './caller-request';
import { GenerateAttempt } from './generate-attempt';
import { RouterDependencies } from './router-dependencies';

/** Relays one answer. */
class PieceRelay {
  private pieceCount = 0;

  constructor(
    private readonly call: IncomingRequest,
    private readonly router: RouterDependencies,
    private readonly attempt: GenerateAttempt,
    private readonly stream: GenerationStream,
  ) {}

  /** Relays from the first line on; gives an error where the answer has no good end. */
  async run(first: EngineLine): Promise<OperationError | undefined> {
    let line = first;
    for (;;) {
      const bad = this.lineError(line);
      if (bad) return this.breakOff(bad);
      if (line.done === true) return this.complete(line);
      this.pieceCount++;
      const piece = JSON.stringify({ n: line.n, text: line.text }) + '\n';
      if (!(await this.call.write(piece))) return this.callerGone();
      const [error, next] = errorOrValue(await this.stream.next());
      if (error) return this.breakOff(error);
      line = next;
    }
  }

  /** What is wrong with a line: it is of another run, is not due, or ends the answer at a wrong count. */
  private lineError(line: EngineLine): OperationError | undefined {
    const { pieceCount } = this;
    if (line.request !== this.attempt.runId)
      return this.badLine(`a line of ${line.request}`, 'foreign-line');
    if (line.done === true)
      return line.count === pieceCount
        ? undefined
        : this.badLine(`count ${line.count} after ${pieceCount} pieces`, 'bad-count');
    if (line.n !== pieceCount || typeof line.text !== 'string')
      return this.badLine(`piece ${line.n} where ${pieceCount} was due`, 'bad-order');
    return undefined;
  }

  private badLine(reason: string, code: ErrorCode): OperationError {
    const peer = this.attempt.choice.tracked.engine.id;
    return { step: 'read piece', peer, reason, certainty: 'unknown', code };
  }

  private complete(line: EngineLine): undefined {
    this.learnFrom(line);
    const last = { done: true, count: this.pieceCount, outcome: 'ok' };
    this.call.end(JSON.stringify(last) + '\n');
    this.router.counts.done++;
    return undefined;
  }

  private callerGone(): OperationError {
    this.stream.cancel();
    return {
      step: 'give piece',
      peer: this.call.peer,
      reason: 'caller went away',
      certainty: 'unknown',
      code: 'caller-gone',
    };
  }

  private breakOff(error: OperationError): OperationError {
    this.stream.cancel();
    this.router.counts.unknown++;
    this.call.end(
      JSON.stringify({
        error: { class: 'unknown', code: error.code ?? 'broken', message: error.reason },
        incomplete: true,
      }) + '\n',
    );
    return error;
  }

  /** Counts and learns from an answer's last line, and tells indexers where they were wrong or in doubt. */
  private learnFrom(line: EngineLine): void {
    const { attempt, router } = this;
    const { choice, request } = attempt;
    const { counts, engines, indexers } = router;
    const reused = line.reused ?? [];
    counts.needed += tokensOf(request.blocks);
    counts.reused += tokensOf(reused);
    counts.expected += tokensOf(request.blocks.slice(0, choice.expectedBlocks));
    if (!choice.isIndexed) counts.unindexed++;
    this.learnFetch(line);
    if (line.read !== undefined && line.prefillMs !== undefined)
      engines.observePrefill(choice.tracked, line.read, line.prefillMs);
    if (choice.isCertain && reused.length === choice.expectedBlocks) return;
    indexers.notifyReused({
      source: choice.tracked.engine.id,
      model: request.service.model,
      salt: request.salt,
      weights: choice.weights,
      parts: request.blocks,
      count: reused.length,
    });
  }

  private learnFetch({ fetched }: EngineLine): void {
    const { fetch, tracked } = this.attempt.choice;
    const { counts, engines } = this.router;
    if (!fetched || !fetch) return;
    counts.fetched += fetched.tokens;
    engines.observeTransfer(fetch.from, tracked.engine.id, fetched.tokens, fetched.ms);
  }
}

/** Relays an engine's lines from the first on; gives an error where the answer has no good end. */
export function relayPieces(
  call: IncomingRequest,
  router: RouterDependencies,
  attempt: GenerateAttempt,
  stream: GenerationStream,
  first: EngineLine,
): Promise<OperationError | undefined> {
  return new PieceRelay(call, router, attempt, stream).run(first);
}
