package org.verbenatally.forward.cold;

/** A sign by which a target is found to be cold. */
public enum ColdSign {
    /** Its published entry states a remaining cold time. */
    STATED_IN_ENTRY,
    /** A response of it states a remaining cold time. */
    STATED_IN_RESPONSE,
    /** It is a new run that started less than the cold time of its service ago. */
    NEW_RUN,
    /** It is in the published list again, or appeared there after the list was known. */
    LISTED_AGAIN,
    /** It accepts connections again after it could not be reached. */
    REACHABLE_AGAIN,
    /** Its failure domain returned from an evacuation. */
    DOMAIN_RETURNED
}
