/** Single calls of the control addresses, as operators and applications make them. */

import http from 'node:http';
import { kept, splitAt } from './serve';

/** A call of a control address. */
export interface ControlCall {
  method: string;
  path: string;
  body?: string;
  headers?: Record<string, string>;
}

/** Its answer; status 0 where there is none. */
export interface ControlAnswer {
  status: number;
  body: string;
  location?: string;
}

const NO_ANSWER: ControlAnswer = { status: 0, body: '' };
const REDIRECTS = 2;
const REDIRECTED = 307;

function headersOf({ body, headers }: ControlCall): Record<string, string> {
  if (body === undefined) return { ...headers };
  return {
    'Content-Type': 'application/json',
    'Content-Length': String(Buffer.byteLength(body)),
    ...headers,
  };
}

/** Makes one call, at one node. */
export function callOnce(at: string, call: ControlCall, withinMs: number): Promise<ControlAnswer> {
  const k = kept<ControlAnswer>();
  function answered(res: http.IncomingMessage): void {
    let text = '';
    function data(b: Buffer): void {
      text += b.toString();
    }
    function end(): void {
      k.keep({ status: res.statusCode ?? 0, body: text, location: res.headers.location });
    }
    res.on('data', data);
    res.on('end', end);
    res.on('error', fail);
    res.on('close', fail);
  }
  function fail(): void {
    req.destroy();
    k.keep(NO_ANSWER);
  }
  const { method, path, body } = call;
  const headers = headersOf(call);
  const req = http.request(
    { ...splitAt(at), method, path, agent: false, headers, timeout: withinMs },
    answered,
  );
  req.on('timeout', fail);
  req.on('error', fail);
  req.end(body);
  return k.promise;
}

/** Makes one call, and follows it to other nodes twice. */
export async function callFollowing(
  at: string,
  call: ControlCall,
  withinMs: number,
): Promise<ControlAnswer> {
  let answer = await callOnce(at, call, withinMs);
  for (let i = 0; i < REDIRECTS && answer.status === REDIRECTED && answer.location; i++) {
    const to = new URL(answer.location);
    answer = await callOnce(to.host, { ...call, path: to.pathname }, withinMs);
  }
  return answer;
}
