/**
 * Configuration changes: operations on control keys, compared and set on the revision that they build on; forwarded to
 * the owner of their key, made once however often they are sent, and waited for until every lease holder has applied
 * them. Also the validation of what operators declare.
 */

export { ChangeCoordinator, ChangeResult, makeChangeCoordinator } from './change-coordinator';
export { ChangeEffects, makeChangeEffects } from './change-effects';
export { forwardChange } from './change-forwarding';
export { DeploymentOperation, DocumentParser, makeDeploymentOperation } from './deployment-change';
export { compareIntentsWithFleet, Finding } from './intents-consistency';
export { IntentViolation, validateIntents } from './intents-validation';
export { controlKeyOf, Operation, TenantKeys } from './operations';
export { SingletonHolder } from './singleton-holder';
