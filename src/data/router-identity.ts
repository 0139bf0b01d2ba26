/**
 * Who a router is, and whom it follows.
 */

import { Follower, followCore } from '../shared/replication/follower';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { drawRunId, Member, memberOf } from '../shared/state/members';
import { Hello, helloOf } from '../shared/transport/hello';
import { HelloHandlers } from '../shared/transport/hello-handlers';

/** Who a router is, and whom it follows. */
export interface RouterIdentity {
  hello: Hello;
  member: Member;
  follower: Follower;
  /** Handlers of messages on the wire. */
  handlers: object[];
}

/** Makes a router a member of the fleet, in a new run of its process: it follows the core from now on. */
export function joinAsRouter(
  ports: Ports,
  settings: Settings,
  timeLimits: TimeLimits,
): RouterIdentity {
  const hello = helloOf(settings, 'router');
  const member = memberOf(settings, 'router', drawRunId(ports.random));
  const handlers: object[] = [new HelloHandlers(hello)];
  const { seeds } = settings;
  const follower = followCore(ports, { timeLimits, hello, member, seeds, handlers });
  return { hello, member, follower, handlers };
}
