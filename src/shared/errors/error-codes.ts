/**
 * The codes of errors, by concern. A code is sent between processes and told to operators, so its text never changes.
 */

/** Connections between our own processes, and to engines. */
export type TransportErrorCode =
  | 'no-stream'
  | 'no-connection'
  | 'ended'
  | 'timeout'
  | 'broken'
  | 'reset'
  | 'bad-hello'
  | 'wire-version'
  | 'not-known';

/** Control keys: their voters, owners and versions. */
export type ConsensusErrorCode =
  | 'no-quorum'
  | 'no-voter'
  | 'not-founded'
  | 'whole'
  | 'unsettled'
  | 'pending'
  | 'in-doubt'
  | 'tell-all';

/** A node's own disk. */
export type StorageErrorCode = 'disk';

/** The voter set and its bootstrap. */
export type MembershipErrorCode = 'not-blank' | 'not-founder' | 'newcomer-unfit';

/** Changes that operators ask for. */
export type ConfigurationErrorCode =
  'conflict' | 'stands' | 'forgotten' | 'bad-deployment' | 'bad-intents';

/** What was received is not what the protocol allows. */
export type ProtocolErrorCode =
  | 'bad-body'
  | 'bad-json'
  | 'bad-shape'
  | 'bad-return'
  | 'too-large'
  | 'overloaded'
  | 'foreign-line'
  | 'bad-count'
  | 'bad-order';

/** Requests on their way to an engine. */
export type RequestErrorCode = 'caller-gone' | 'not-fit' | 'not-ready' | 'late' | 'none';

/** An HTTP status that is no success. */
export type StatusErrorCode = `status-${number}`;

/** A code of the operating system or of Node's libraries. */
export type SystemErrorCode = `E${string}` | `HPE_${string}` | `UND_${string}`;

/** The codes that this project defines one by one. */
export type NamedErrorCode =
  | TransportErrorCode
  | ConsensusErrorCode
  | StorageErrorCode
  | MembershipErrorCode
  | ConfigurationErrorCode
  | ProtocolErrorCode
  | RequestErrorCode;

/** The code of any error. */
export type ErrorCode = NamedErrorCode | StatusErrorCode | SystemErrorCode;

/** The code that Node gave an error, where it gave one. */
export function systemErrorCode(error: unknown): SystemErrorCode | undefined {
  return (error as { code?: SystemErrorCode } | undefined)?.code;
}

function isNamed(code: ErrorCode): code is NamedErrorCode {
  return /^[a-z]/.test(code) && !code.startsWith('status-');
}

/**
 * Whether a code tells of the node that was asked (it is unreachable, or no voter, or its disk fails) and not of what
 * it was asked for: another node may do what this one did not.
 */
export function isAboutPeer(code: ErrorCode): boolean {
  if (!isNamed(code)) return false;
  switch (code) {
    case 'no-stream':
    case 'timeout':
    case 'ended':
    case 'no-quorum':
    case 'no-voter':
    case 'not-founded':
    case 'disk':
      return true;
    case 'no-connection':
    case 'broken':
    case 'reset':
    case 'bad-hello':
    case 'wire-version':
    case 'not-known':
    case 'whole':
    case 'unsettled':
    case 'pending':
    case 'in-doubt':
    case 'tell-all':
    case 'not-blank':
    case 'not-founder':
    case 'newcomer-unfit':
    case 'conflict':
    case 'stands':
    case 'forgotten':
    case 'bad-deployment':
    case 'bad-intents':
    case 'bad-body':
    case 'bad-json':
    case 'bad-shape':
    case 'bad-return':
    case 'too-large':
    case 'overloaded':
    case 'foreign-line':
    case 'bad-count':
    case 'bad-order':
    case 'caller-gone':
    case 'not-fit':
    case 'not-ready':
    case 'late':
    case 'none':
      return false;
  }
}
