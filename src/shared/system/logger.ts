/**
 * The port of the log, by bunyan.
 */

import bunyan from 'bunyan';
import { Logger } from '../ports/logger';

/** Bunyan's ring in memory, written out to standard error when something goes wrong; notices are written out at once. */
export function makeLogger(program: string, name: string, records = 200): Logger {
  const ring = new bunyan.RingBuffer({ limit: records });
  const log = bunyan.createLogger({
    name: program,
    node: name,
    streams: [{ level: 'info', type: 'raw', stream: ring }],
  });
  const notices = bunyan.createLogger({ name: program, node: name, stream: process.stderr });
  function info(fields: object, text: string): void {
    log.info(fields, text);
  }
  function notice(fields: object, text: string): void {
    notices.info(fields, text);
  }
  function warn(fields: object, text: string): void {
    log.warn(fields, text);
  }
  function error(fields: object, text: string): void {
    log.error(fields, text);
    for (const r of ring.records)
      process.stderr.write(JSON.stringify(r, bunyan.safeCycles()) + '\n');
    ring.records.length = 0;
  }
  return { info, notice, warn, error };
}
