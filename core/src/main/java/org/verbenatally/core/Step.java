package org.verbenatally.core;

import java.util.Locale;

/** The steps at which a request or a control exchange can fail. */
public enum Step {
    /** Reading the caller's request. */
    ACCEPT,
    /** Checking the credential and the organisation. */
    AUTHENTICATE,
    /** Deciding whether the request may run now. */
    ADMIT,
    /** Choosing a target. */
    ROUTE,
    /** Connecting to a target or a peer. */
    CONNECT,
    /** Sending the request to a target. */
    SEND,
    /** Waiting for the first token. */
    FIRST_TOKEN,
    /** Passing tokens on. */
    STREAM,
    /** Resuming a stream at a later offset. */
    RESUME,
    /** Forwarding a call to the entry that owns its idempotency key. */
    FORWARD,
    /** Reading, checking or spreading configuration. */
    CONFIGURE,
    /** Giving an order to a target. */
    ORDER;

    /** Returns the name as problem documents show it, for example {@code first-token}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
