/**
 * Evacuations: zones whose engines are to get nothing more; the committed value of the control key `evacuations`.
 */

/** The zones that are evacuated, in alphabetical order. The field name is stored and sent. */
export interface EvacuationsValue {
  zones: string[];
}
