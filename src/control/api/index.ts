/**
 * The HTTP interfaces of a controller: that of its operators, that for operators who speak a platform's dialect, and
 * the draining of calls at a stop.
 */

export {
  type CallCounter,
  type CallDrainingDependencies,
  countCalls,
  drainCalls,
} from './call-draining';
export { serveDeployment } from './deployment-api';
export { makeOperatorListener, serveOperators } from './operator-api';
